#pragma once

#include <LibClaims/AtMostOnceCaller.h>
#include <LibConfig/Configuration.h>
#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCore/MemoryAccount.h>
#include <LibCore/RandomSource.h>
#include <LibDispatch/Dispatcher.h>
#include <LibHttp/CallerServerSettings.h>
#include <LibHttp/Readiness.h>
#include <LibRelay/EngineClient.h>
#include <LibRelay/ServiceClient.h>
#include <LibRelay/StreamHandover.h>

#include <cstdint>
#include <memory>

namespace Lovageward {

/** What the caller API works with. All references must outlive the server. */
struct CallerServerParts
{
    const Clock &clock;
    RandomSource &random;
    LogSink &logSink;
    Counters &counters;
    const Configuration &configuration;
    Dispatcher &dispatcher;
    EngineClient &engines;
    ServiceClient &services;
    AtMostOnceCaller &atMostOnce;
    const Readiness &readiness;
    StreamHandover &handover;
    MemoryAccount &memory;
};

/** HTTP server for callers (docs/design.md, section 8). One pooled thread serves one connection. */
class CallerServer
{
public:
    /** Throws Error(InvalidSettings) for settings that can't work. */
    CallerServer(const CallerServerParts &parts, const CallerServerSettings &settings);
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Begins to accept connections. Throws Error(InvalidSettings) if the address can't be bound. */
    void start();

    /** Port that the server listens on; 0 before start(). */
    std::uint16_t port() const;

    /**
     * Shuts down gracefully: `/readyz` answers 503 and new work is refused at once, running requests finish. Streams that still run at
     * the deadline get a `resume` event, and their generations go on at the engines. Blocks until the requests have ended, at most until the
     * deadline plus the drain grace. Requests that wait in the dispatcher end only when it refuses them, so shut it down as well.
     * Returns true if no request was left. Further calls wait again.
     */
    bool stop(TimePoint deadline);

    /** Requests that are being answered. */
    std::size_t activeRequests() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
