#include <LibNode/PeerStreamHandover.h>

#include <LibCore/Error.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr auto stepInterval = milliseconds(500);
/** Short, because a resuming caller waits for it, and because an owner that doesn't respond is most likely dead. */
constexpr auto messageTimeout = milliseconds(500);
constexpr auto cancelTimeout = seconds(2);
/** Maximum number of nodes that are notified along the chain of earlier take-overs. */
constexpr int maximumTakeOverHops = 4;

}

PeerStreamHandover::PeerStreamHandover(const Clock &clock, PeerTransport &transport, const Membership &membership, EngineClient &engines, Counters &counters)
    : clock(clock)
    , transport(transport)
    , membership(membership)
    , engines(engines)
    , abandonedStreams(counters.counter("lovageward_streams_abandoned_total"))
    , takenOverStreams(counters.counter("lovageward_streams_taken_over_total"))
    , cancelledStreams(counters.counter("lovageward_streams_cancelled_total"))
    , failedMessages(counters.counter("lovageward_stream_take_overs_failed_total"))
    , streams(AbandonedStreamLimits())
{
}

HostId PeerStreamHandover::ownerHost() const
{
    return this->membership.self().host;
}

void PeerStreamHandover::abandon(const GenerationTarget &target)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->streams.abandon(target, this->clock.now());
    this->abandonedStreams.add();
}

void PeerStreamHandover::takeOver(const HostId &ownerHost, const GenerationId &generation)
{
    auto self = this->membership.self().host;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->streams.resumeLocally(generation, ownerHost == self, this->clock.now());
    }
    std::optional<HostId> next = ownerHost;
    for (int hop = 0; hop < maximumTakeOverHops && next && *next != self; ++hop) {
        next = this->sendTakeOver(*next, generation);
    }
}

std::optional<HostId> PeerStreamHandover::sendTakeOver(const HostId &host, const GenerationId &generation)
{
    auto members = this->membership.liveMembers();
    auto member = std::find_if(members.begin(), members.end(), [&](const Member &candidate) { return candidate.host == host; });
    if (member == members.end()) {
        return std::nullopt;
    }
    MessageWriter writer;
    writer.array(1).text(generation.value());
    PeerMessage message { PeerMessageKind::StreamTakeOver, this->membership.self().host, writer.encoded() };
    try {
        MessageReader answer(this->transport.request(member->peerAddress, message, this->clock.now() + messageTimeout));
        answer.beginArray(1, 1);
        HostId previous(answer.text());
        answer.endArray();
        return previous.isEmpty() ? std::nullopt : std::optional(previous);
    } catch (const Error &) {
        this->failedMessages.add();
        return std::nullopt;
    }
}

std::string PeerStreamHandover::handle(const PeerMessage &message)
{
    MessageReader reader(message.payload);
    reader.beginArray(1, 1);
    GenerationId generation(reader.text());
    reader.endArray();
    std::optional<HostId> previous;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        previous = this->streams.takeOver(generation, message.sender, this->clock.now());
    }
    this->takenOverStreams.add();
    MessageWriter writer;
    writer.array(1).text(previous ? previous->value() : std::string());
    return writer.encoded();
}

TimePoint PeerStreamHandover::step()
{
    std::vector<GenerationTarget> due;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        due = this->streams.takeDue(this->clock.now());
    }
    for (const auto &target : due) {
        this->cancelledStreams.add();
        try {
            this->engines.cancel(target.address, target.generation, this->clock.now() + cancelTimeout);
        } catch (const Error &) {
            // The engine is gone or doesn't respond. A generation that still runs on it ends by itself.
            this->failedMessages.add();
        }
    }
    return this->clock.now() + stepInterval;
}

}
