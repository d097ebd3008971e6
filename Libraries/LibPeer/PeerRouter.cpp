#include <LibCore/Error.h>
#include <LibPeer/PeerEnvelope.h>
#include <LibPeer/PeerRouter.h>

namespace Lovageward {

namespace {

/** Counts a running handler for the time of a scope. */
class RunningScope
{
public:
    explicit RunningScope(std::atomic<std::size_t> &running) : running(running), position(running.fetch_add(1))
    {
    }

    RunningScope(const RunningScope &) = delete;
    RunningScope &operator=(const RunningScope &) = delete;

    ~RunningScope()
    {
        this->running.fetch_sub(1);
    }

    /** Handlers that were already running. */
    std::size_t earlier() const
    {
        return this->position;
    }

private:
    std::atomic<std::size_t> &running;
    std::size_t position;
};

}

PeerRouter::PeerRouter(LogSink &sink, Counters &counters)
    : logger(sink, "peer"), messageTraffic(counters), failures(counters.counter("lovageward_peer_unanswered_total"))
{
}

void PeerRouter::registerHandler(PeerMessageKind kind, PeerHandler &handler, std::size_t maximumConcurrent)
{
    this->routes[kind] = std::make_unique<Route>(handler, maximumConcurrent);
}

std::optional<std::string> PeerRouter::route(std::string_view encoded)
{
    try {
        auto message = decodePeerMessage(encoded);
        this->messageTraffic.count(PeerDirection::Received, message.kind, encoded.size());
        auto answer = this->dispatch(message);
        if (answer.size() > maximumPeerMessageBytes) {
            throw Error(ResultCode::MalformedMessage, RunState::Ran, "the answer is too long to send");
        }
        this->messageTraffic.count(PeerDirection::Sent, message.kind, answer.size());
        return answer;
    } catch (const std::exception &error) {
        this->failures.add();
        this->logger.warning("message left unanswered: {}", error.what());
        return std::nullopt;
    }
}

std::string PeerRouter::dispatch(const PeerMessage &message)
{
    auto found = this->routes.find(message.kind);
    if (found == this->routes.end()) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, fmt::format("no handler for {}", peerMessageKindName(message.kind)));
    }
    auto &route = *found->second;
    RunningScope scope(route.running);
    if (scope.earlier() >= route.maximumConcurrent) {
        throw Error(ResultCode::QueueFull, RunState::NotRun, fmt::format("too many {} messages at a time", peerMessageKindName(message.kind)));
    }
    return route.handler.handle(message);
}

}
