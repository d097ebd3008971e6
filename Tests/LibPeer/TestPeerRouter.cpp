#include <LibCore/Error.h>
#include <LibPeer/PeerEnvelope.h>
#include <LibPeer/PeerRouter.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

class QuietSink final : public LogSink
{
public:
    void write(LogLevel, const std::string &) override
    {
    }
};

/** Hands each message back to the router while it is being handled, to see the bound on concurrent messages. */
class NestingHandler final : public PeerHandler
{
public:
    NestingHandler(PeerRouter &router, int depth) : router(router), depth(depth)
    {
    }

    std::string handle(const PeerMessage &message) override
    {
        ++this->running;
        this->greatest = std::max(this->greatest, this->running);
        if (this->running < this->depth) {
            this->router.route(encodePeerMessage(message));
        }
        --this->running;
        return "answer";
    }

    int greatestRunning() const
    {
        return this->greatest;
    }

private:
    PeerRouter &router;
    int depth;
    int running = 0;
    int greatest = 0;
};

class ThrowingHandler final : public PeerHandler
{
public:
    std::string handle(const PeerMessage &) override
    {
        throw Error(ResultCode::Internal, RunState::Unknown, "fault");
    }
};

}

TEST_CASE("Slow handlers of one kind can't take all workers, or else probes would find none", "[peer]")
{
    QuietSink sink;
    Counters counters;
    PeerRouter router(sink, counters);
    NestingHandler handler(router, 10);
    router.registerHandler(PeerMessageKind::ClaimRequest, handler, 3);
    auto answer = router.route(encodePeerMessage({ PeerMessageKind::ClaimRequest, HostId("a"), "x" }));
    CHECK(answer == std::optional<std::string>("answer"));
    CHECK(handler.greatestRunning() == 3);
    CHECK(counters.counter("lovageward_peer_unanswered_total").value() == 1);
}

TEST_CASE("Messages that can't be handled stay unanswered and are counted", "[peer]")
{
    QuietSink sink;
    Counters counters;
    PeerRouter router(sink, counters);
    ThrowingHandler handler;
    router.registerHandler(PeerMessageKind::Probe, handler, 4);
    auto probe = encodePeerMessage({ PeerMessageKind::Probe, HostId("a"), "x" });
    CHECK_FALSE(router.route(probe));
    CHECK_FALSE(router.route(encodePeerMessage({ PeerMessageKind::ConfigPull, HostId("a"), "x" })));
    CHECK_FALSE(router.route("garbage"));
    CHECK(counters.counter("lovageward_peer_unanswered_total").value() == 3);
    CHECK(counters.counter("lovageward_peer_bytes_total{direction=\"received\",kind=\"Probe\"}").value() == static_cast<std::int64_t>(probe.size()));
}
