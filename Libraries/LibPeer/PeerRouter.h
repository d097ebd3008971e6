#pragma once

#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibPeer/PeerTraffic.h>
#include <LibPeer/PeerTransport.h>

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/**
 * Passes each message to the handler of its kind and counts the bytes of each kind. Register all handlers before the first
 * message; after that the router is safe to call from several threads and takes no lock.
 */
class PeerRouter
{
public:
    PeerRouter(LogSink &sink, Counters &counters);

    /**
     * Registers the handler of a kind. At most `maximumConcurrent` messages of the kind are handled at a time and further
     * ones stay unanswered. Kinds whose handlers wait for I/O need a bound below the transport's worker count, because
     * probes that find no worker make the other nodes suspect this one.
     */
    void registerHandler(PeerMessageKind kind, PeerHandler &handler, std::size_t maximumConcurrent);

    /** Decodes and handles a message. Returns nothing if the sender gets no answer; the reason is logged. */
    std::optional<std::string> route(std::string_view encoded);

    /** Counter of sent and received bytes, shared with the transport. */
    PeerTraffic &traffic()
    {
        return this->messageTraffic;
    }

private:
    struct Route
    {
        Route(PeerHandler &handler, std::size_t maximumConcurrent) : handler(handler), maximumConcurrent(maximumConcurrent)
        {
        }

        PeerHandler &handler;
        std::size_t maximumConcurrent;
        std::atomic<std::size_t> running = 0;
    };

    std::string dispatch(const PeerMessage &message);

    Logger logger;
    PeerTraffic messageTraffic;
    Counter &failures;
    std::map<PeerMessageKind, std::unique_ptr<Route>> routes;
};

}
