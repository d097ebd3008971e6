#include <LibHttp/CallerServer.h>

#include <LibCore/EventThrottle.h>
#include <LibHttp/CallerConnection.h>
#include <LibHttp/Listener.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>

#include <thread>

namespace Lovageward {

namespace {

// Interval at which stop() looks whether requests are left.
constexpr Duration drainCheckInterval = milliseconds(20);
// Connections that the kernel accepts before a thread takes them.
constexpr int listenBacklog = 1024;
// Threads with less stack overflow in POCO's JSON and crypto functions.
constexpr int minimumStackBytes = 64 * 1024;
constexpr std::size_t minimumKeyBytes = 16;
// Time after which an idle connection, or one whose request isn't complete, gives its place to a new one if all are taken.
constexpr Duration idlePlaceTime = milliseconds(250);
constexpr Duration unfinishedPlaceTime = seconds(1);

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(CallerConnectionContext &context, CallerRouter &router, ConnectionGuard &guard) : context(context), router(router), guard(guard)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new CallerConnection(socket, this->context, this->router, this->guard);
    }

private:
    CallerConnectionContext &context;
    CallerRouter &router;
    ConnectionGuard &guard;
};

/** Counts and logs connections that are closed or refused because all places are taken. */
class CallerPlaceObserver final : public PlaceObserver
{
public:
    explicit CallerPlaceObserver(const CallerServerParts &parts)
        : counters(parts.counters), logger(parts.logSink, "callers"), releases(parts.clock), refusals(parts.clock)
    {
    }

    void connectionReleased(ClientWait released, std::size_t open) override
    {
        auto isIdle = released == ClientWait::Idle;
        this->counters.counter(isIdle ? "lovageward_idle_connections_closed_total" : "lovageward_unfinished_requests_closed_total").add();
        if (auto count = this->releases.count()) {
            this->logger.warning("Closed {} idle or unfinished connections for new ones; {} are open.", *count, open);
        }
    }

    void connectionRefused(std::size_t open) override
    {
        this->counters.counter("lovageward_connections_refused_total").add();
        if (auto count = this->refusals.count()) {
            this->logger.warning("Refused {} connections; {} are open.", *count, open);
        }
    }

private:
    Counters &counters;
    Logger logger;
    EventThrottle releases;
    EventThrottle refusals;
};

Poco::Net::TCPServerParams::Ptr serverParameters(const CallerServerSettings &settings)
{
    Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
    params->setMaxThreads(settings.maximumThreads);
    // The filter bounds the queue. POCO drops what exceeds it without telling the filter, so it must not be the smaller bound.
    params->setMaxQueued(listenBacklog);
    return params;
}

void validate(const CallerServerSettings &settings)
{
    if (settings.resumeKey.size() < minimumKeyBytes) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "the resume key needs at least 16 bytes");
    }
    if (settings.maximumThreads < 2 || settings.threadStackBytes < minimumStackBytes) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "the caller API needs at least 2 threads with 64 KiB of stack");
    }
}

}

class CallerServer::Implementation
{
public:
    Implementation(const CallerServerParts &parts, const CallerServerSettings &settings)
        : observer(parts)
        , places(parts.memory,
                 parts.memory.addListener({ settings.connectionBytes, idlePlaceTime, unfinishedPlaceTime }),
                 static_cast<std::size_t>(settings.maximumThreads),
                 this->observer)
        , context { parts, settings, {}, 0, this->places }
        , guard(parts.clock, settings.slowSenderTimeout)
        , router(this->context.parts, this->context.settings, this->context.drain)
        , threads("callers", 2, settings.maximumThreads, 60, settings.threadStackBytes)
    {
    }

    CallerPlaceObserver observer;
    ConnectionPlaces places;
    CallerConnectionContext context;
    ConnectionGuard guard;
    CallerRouter router;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

CallerServer::CallerServer(const CallerServerParts &parts, const CallerServerSettings &settings)
{
    validate(settings);
    this->implementation = std::make_unique<Implementation>(parts, settings);
}

CallerServer::~CallerServer()
{
    // Connections refer to this object, so their threads must have ended before it goes.
    this->implementation->context.drain.begin(this->implementation->context.parts.clock.now());
    this->implementation->guard.beginClosing();
    if (this->implementation->server) {
        this->implementation->server->stop();
    }
    this->implementation->threads.joinAll();
}

void CallerServer::start()
{
    auto &state = *this->implementation;
    auto params = serverParameters(state.context.settings);
    auto socket = openListener(state.context.settings.listenAddress, listenBacklog);
    try {
        Poco::Net::TCPServerConnectionFactory::Ptr factory(new ConnectionFactory(state.context, state.router, state.guard));
        state.server = std::make_unique<Poco::Net::TCPServer>(factory, state.threads, socket, params);
        state.server->setConnectionFilter(new PlaceFilter(state.places));
        state.server->start();
    } catch (const Poco::Exception &error) {
        throw Error(
            ResultCode::InvalidSettings, RunState::NotRun, "can't serve callers on " + state.context.settings.listenAddress + ": " + error.displayText());
    }
}

std::uint16_t CallerServer::port() const
{
    return this->implementation->server ? this->implementation->server->port() : 0;
}

std::size_t CallerServer::activeRequests() const
{
    return this->implementation->context.activeRequests;
}

bool CallerServer::stop(TimePoint deadline)
{
    auto &context = this->implementation->context;
    context.drain.begin(deadline);
    auto end = deadline + context.settings.drainGrace;
    // The listener stays open until the end, so that the balancer's readiness checks get their answer.
    while (context.activeRequests > 0 && context.parts.clock.now() < end) {
        std::this_thread::sleep_for(drainCheckInterval);
    }
    this->implementation->guard.beginClosing();
    if (this->implementation->server) {
        this->implementation->server->stop();
    }
    return context.activeRequests == 0;
}

}
