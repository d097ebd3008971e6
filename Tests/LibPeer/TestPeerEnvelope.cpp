#include <LibCore/Error.h>
#include <LibPeer/MessageWriter.h>
#include <LibPeer/PeerEnvelope.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

PeerMessage sample(std::size_t payloadBytes)
{
    return { PeerMessageKind::CreditRequest, HostId("surat-3"), std::string(payloadBytes, 'x') };
}

std::string envelope(std::uint64_t kind, std::size_t extraValues)
{
    MessageWriter writer;
    writer.array(3 + extraValues).number(kind).text("surat-3").bytes("payload");
    for (std::size_t index = 0; index < extraValues; ++index) {
        writer.number(index);
    }
    return writer.encoded();
}

}

TEST_CASE("A message between nodes keeps its kind, sender and payload", "[peer]")
{
    auto decoded = decodePeerMessage(encodePeerMessage(sample(300)));
    CHECK(decoded.kind == PeerMessageKind::CreditRequest);
    CHECK(decoded.sender == HostId("surat-3"));
    CHECK(decoded.payload == std::string(300, 'x'));
}

TEST_CASE("Values that a newer version appends don't break older nodes during an upgrade", "[peer]")
{
    CHECK(decodePeerMessage(envelope(1, 2)).payload == "payload");
}

TEST_CASE("A message that exceeds 64 KiB is refused at the sender, so it can't stall the receiver", "[peer]")
{
    CHECK_THROWS_AS(encodePeerMessage(sample(maximumPeerMessageBytes)), Error);
    CHECK_NOTHROW(encodePeerMessage(sample(maximumPeerMessageBytes - 64)));
}

TEST_CASE("Malformed bytes are refused and never crash a node or take its memory", "[peer]")
{
    struct Fault
    {
        const char *name;
        std::string bytes;
    };
    auto good = encodePeerMessage(sample(20));
    std::vector<Fault> faults = {
        { "empty", "" },
        { "cut short", good.substr(0, good.size() - 1) },
        { "trailing byte", good + "x" },
        { "kind 0", envelope(0, 0) },
        { "unknown kind", envelope(10, 0) },
        { "too many values", envelope(1, 20) },
        { "not an array", std::string("\x05", 1) },
        { "array that announces 2^32 - 1 values", std::string("\xdd\xff\xff\xff\xff", 5) },
        { "payload that announces 2^32 - 1 bytes", std::string("\x93\x01\xa1s\xc6\xff\xff\xff\xff", 9) },
        { "deep nesting", std::string(1000, '\x91') },
        { "too long", std::string(maximumPeerMessageBytes + 1, '\x01') },
        { "negative kind", std::string("\x93\xff\xa1s\xc4\x00", 6) },
        { "text where bytes belong", std::string("\x93\x01\xa1s\xa1s", 6) },
    };
    for (const auto &fault : faults) {
        INFO(fault.name);
        try {
            decodePeerMessage(fault.bytes);
            FAIL_CHECK("accepted");
        } catch (const Error &error) {
            CHECK(error.code() == ResultCode::MalformedMessage);
        }
    }
}
