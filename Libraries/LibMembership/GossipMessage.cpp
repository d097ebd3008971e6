#include <LibMembership/GossipMessage.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr std::size_t updateValues = 6;
constexpr std::size_t offsetValues = 3;
constexpr std::size_t gossipValues = 7;
constexpr std::size_t indirectValues = 2;
// Room for values that later versions append.
constexpr std::size_t maximumValues = 16;
// A full list of members goes to a node that has just started.
constexpr std::size_t maximumUpdates = 2048;
constexpr std::size_t maximumOffsets = 4;
constexpr std::size_t maximumBits = 1024;
constexpr std::size_t bitsPerByte = 8;

void writeUpdate(MessageWriter &writer, const MemberUpdate &update)
{
    writer.array(updateValues).text(update.host.value()).number(update.incarnation.value()).number(static_cast<std::uint64_t>(update.state));
    writer.text(update.peerAddress.value()).text(update.region.value()).text(update.failureDomain.value());
}

MemberUpdate readUpdate(MessageReader &reader)
{
    MemberUpdate update;
    reader.beginArray(updateValues, maximumValues);
    update.host = HostId(reader.text());
    update.incarnation = Incarnation(reader.number());
    update.state = static_cast<MemberState>(reader.number(static_cast<std::uint64_t>(MemberState::Dead)));
    update.peerAddress = PeerAddress(reader.text());
    update.region = RegionId(reader.text());
    update.failureDomain = FailureDomainId(reader.text());
    reader.endArray();
    return update;
}

void writeGossip(MessageWriter &writer, const GossipMessage &message)
{
    writer.array(gossipValues).text(message.target.value());
    writeUpdate(writer, message.self);
    writer.number(message.configOffset.value()).flag(message.wantsAllMembers).flag(message.holdsAllMembers);
    writer.array(message.updates.size());
    for (const auto &update : message.updates) {
        writeUpdate(writer, update);
    }
    writer.array(message.appliedOffsets.size());
    for (const auto &offsets : message.appliedOffsets) {
        writer.array(offsetValues).number(offsets.viewHash).number(offsets.offset.value()).bytes(offsets.bits);
    }
}

GossipMessage readGossip(MessageReader &reader)
{
    GossipMessage message;
    reader.beginArray(gossipValues, maximumValues);
    message.target = HostId(reader.text());
    message.self = readUpdate(reader);
    message.configOffset = Offset(reader.number());
    message.wantsAllMembers = reader.flag();
    message.holdsAllMembers = reader.flag();
    auto updates = reader.beginArray(0, maximumUpdates);
    for (std::size_t index = 0; index < updates; ++index) {
        message.updates.push_back(readUpdate(reader));
    }
    reader.endArray();
    auto offsets = reader.beginArray(0, maximumOffsets);
    for (std::size_t index = 0; index < offsets; ++index) {
        reader.beginArray(offsetValues, maximumValues);
        auto viewHash = reader.number();
        auto offset = Offset(reader.number());
        message.appliedOffsets.push_back({ viewHash, offset, reader.bytes(maximumBits) });
        reader.endArray();
    }
    reader.endArray();
    reader.endArray();
    return message;
}

}

bool AppliedOffsets::contains(std::size_t position) const
{
    auto index = position / bitsPerByte;
    return index < this->bits.size() && (static_cast<unsigned char>(this->bits[index]) >> (position % bitsPerByte) & 1U) != 0;
}

void AppliedOffsets::add(std::size_t position)
{
    auto index = position / bitsPerByte;
    this->bits.resize(std::max(this->bits.size(), index + 1));
    this->bits[index] = static_cast<char>(static_cast<unsigned char>(this->bits[index]) | 1U << (position % bitsPerByte));
}

std::string encodeGossip(const GossipMessage &message)
{
    MessageWriter writer;
    writeGossip(writer, message);
    return writer.encoded();
}

std::string encodeIndirectProbe(const IndirectProbeRequest &request)
{
    MessageWriter writer;
    writer.array(indirectValues).text(request.targetAddress.value());
    writeGossip(writer, request.gossip);
    return writer.encoded();
}

std::string encodeIndirectAnswer(const IndirectProbeAnswer &answer)
{
    MessageWriter writer;
    writer.array(indirectValues).flag(answer.isReached);
    writeGossip(writer, answer.gossip);
    return writer.encoded();
}

GossipMessage decodeGossip(std::string_view encoded)
{
    MessageReader reader(encoded);
    return readGossip(reader);
}

IndirectProbeRequest decodeIndirectProbe(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(indirectValues, maximumValues);
    IndirectProbeRequest request;
    request.targetAddress = PeerAddress(reader.text());
    request.gossip = readGossip(reader);
    return request;
}

IndirectProbeAnswer decodeIndirectAnswer(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(indirectValues, maximumValues);
    IndirectProbeAnswer answer;
    answer.isReached = reader.flag();
    answer.gossip = readGossip(reader);
    return answer;
}

}
