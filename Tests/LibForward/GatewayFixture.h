#pragma once

#include "TestProtocol.h"

#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>
#include <LibForward/GatewayServer.h>
#include <Support/FakeFleet.h>
#include <Support/ScriptedUpstream.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Lovageward {

/** One-shot event: blocks an upstream's script or the test until open() is called. */
class Gate
{
public:
    void open()
    {
        {
            std::lock_guard<std::mutex> guard(this->mutex);
            this->isOpen = true;
        }
        this->changed.notify_all();
    }

    void await()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait(lock, [this] { return this->isOpen; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool isOpen = false;
};

/** Ignores all notifications. */
class NullPlacementListener final : public PlacementListener
{
public:
    void loadChanged() override
    {
    }

    void upstreamLoadReported() override
    {
    }

    void upstreamNoticeReceived() override
    {
    }
};

/** Counts the lines of each event, so that a test waits for an event instead of polling. */
class CountingEventLog final : public EventLog
{
public:
    void write(std::string_view event, std::initializer_list<LogField> /*fields*/) override
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        ++this->counts[std::string(event)];
        this->changed.notify_all();
    }

    /** Waits until the event was written `count` times in total. */
    void await(const std::string &event, std::size_t count)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait(lock, [&] { return this->counts[event] >= count; });
    }

    /** Waits until one of the events was written. */
    void awaitAny(const std::vector<std::string> &alternatives)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait(
            lock, [&] { return std::any_of(alternatives.begin(), alternatives.end(), [this](const std::string &event) { return this->counts[event] > 0; }); });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::size_t> counts;
};

/**
 * A gateway on loopback. Routes to services: /plain/ (idempotent), /once/ (at most once), /patient/ (long target latency), /feed/ (stream).
 * Routes to engines, all streams: /long/, /patient-long/ (long target latency), /resumable/.
 */
class GatewayFixture
{
public:
    GatewayFixture()
    {
        this->config.updateIfNewer(makeConfig());
        this->server = std::make_unique<GatewayServer>(this->dependencies, "127.0.0.1:0", 50);
        this->server->start();
    }

    ~GatewayFixture()
    {
        this->drain.closeIdleConnections();
    }

    void add(const std::string &id, const ScriptedUpstream &upstream, const std::string &pool = "engines", bool isDraining = false)
    {
        UpstreamRecord record;
        record.id = UpstreamId(id);
        record.boot = BootId("1");
        record.pool = PoolId(pool);
        record.address = upstream.address();
        record.failureDomain = FailureDomainId("a1");
        record.slots = 8;
        record.isDraining = isDraining;
        this->registry.put(record);
    }

    static std::shared_ptr<const GatewayConfig>
    makeConfig(std::uint64_t version = 1, std::uint32_t idempotentAttempts = 2, std::size_t maximumBodyBytes = 10'000)
    {
        std::vector<Route> routes;
        auto add = [&](const std::string &name, const std::string &pool, ExecutionSemantics rule, bool isStream) {
            Route route;
            route.id = RouteId(name);
            route.host = "test";
            route.pathPrefix = "/" + name + "/";
            route.executionSemantics = rule;
            route.isStream = isStream;
            route.isResumable = name == "resumable";
            route.timeout = seconds(15);
            // Requests wait for capacity for an eighth of the target latency.
            route.targetLatency = name.starts_with("patient") ? Duration(minutes(10)) : Duration(milliseconds(800));
            route.maximumAttempts = rule == ExecutionSemantics::Idempotent ? idempotentAttempts : 1;
            route.requiresApiKey = false;
            route.pools = { WeightedPool { PoolId(pool), 1 } };
            routes.push_back(route);
        };
        add("plain", "services", ExecutionSemantics::Idempotent, false);
        add("once", "services", ExecutionSemantics::AtMostOnce, false);
        add("patient", "services", ExecutionSemantics::AtMostOnce, false);
        add("patient-long", "engines", ExecutionSemantics::AtMostOnce, true);
        add("feed", "services", ExecutionSemantics::AtMostOnce, true);
        add("long", "engines", ExecutionSemantics::AtMostOnce, true);
        add("resumable", "engines", ExecutionSemantics::Idempotent, true);
        UpstreamPool services;
        services.id = PoolId("services");
        UpstreamPool engines;
        engines.id = PoolId("engines");
        EngineTraits traits;
        traits.kvCacheTokens = TokenCount(30'000);
        traits.slots = 24;
        traits.supportsMigration = true;
        traits.supportsStandbyCopies = true;
        engines.engine = traits;
        CallerLimits limits;
        limits.maximumBodyBytes = maximumBodyBytes;
        return std::make_shared<const GatewayConfig>(
            ConfigVersion(version), std::move(routes), std::vector<UpstreamPool> { services, engines }, std::vector<GatewayTeam> {}, limits);
    }

    SystemClock clock;
    SeededRandom random { 1 };
    CountingEventLog events;
    Counters counters;
    ConfigHolder config;
    DrainState drain;
    UpstreamRegistry registry { clock };
    LoadTracker loadTracker { clock };
    TokenTimeTracker tokenTimes { clock };
    UpstreamHealth health { clock };
    UpstreamRefusals refusals { clock };
    StatedRateLimits rateLimits { clock };
    QueryOfDeathDetector queriesOfDeath { clock };
    UpstreamRateLimiter rateLimiter { clock, random };
    UpstreamSpeedTracker speeds { clock, loadTracker, false };
    FakeFleet fleet { 1 };
    UpstreamPicker picker { NodeLocation { FailureDomainId("a1"), RegionId("a"), { { FailureDomainId("a1"), RegionId("a") } } }, random, 0.35 };
    RequestPlacer placer { clock, registry, loadTracker, tokenTimes, health, refusals, rateLimits, rateLimiter, speeds, picker, random, fleet };
    PoolRetryBudgets retries { clock, RetryBudgetLimits { 0.2, 100, seconds(10) }, fleet };
    OutputLengthPredictor outputLengths;
    TestProtocol protocol;
    NullPlacementListener placements;
    WaitingRequests waitingRequests { clock, random, counters };
    MemoryAccount memory { clock, MemoryLimits { 100'000'000, 100'000 } };
    ForwardDependencies dependencies { clock,  random,     events,     counters,       config, registry,       placer,        tokenTimes,
                                       health, refusals,   rateLimits, queriesOfDeath, speeds, retries,        outputLengths, protocol,
                                       drain,  placements, {},         memory,         {},     waitingRequests };
    std::unique_ptr<GatewayServer> server;
};

/** A caller's connection that sends and receives raw bytes. */
class RawCaller
{
public:
    explicit RawCaller(const GatewayFixture &fixture) : socket(Poco::Net::SocketAddress("127.0.0.1", fixture.server->port()))
    {
        this->socket.setReceiveTimeout(Poco::Timespan(20, 0));
    }

    void send(const std::string &bytes)
    {
        this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    void request(const std::string &path, const std::string &id, const std::string &fields = {}, const std::string &body = {})
    {
        this->send(fmt::format("POST {} HTTP/1.1\r\nHost: test\r\nId: {}\r\n{}Content-Length: {}\r\n\r\n{}", path, id, fields, body.size(), body));
    }

    /** Receives until the text has arrived or the connection is closed. Returns everything received so far. */
    const std::string &readUntil(const std::string &text)
    {
        while (this->received.find(text) == std::string::npos && this->receive()) {
        }
        return this->received;
    }

    /** Receives until the connection is closed. Returns everything received so far. */
    const std::string &readAll()
    {
        while (this->receive()) {
        }
        return this->received;
    }

    /** Whether bytes or the end of the connection arrive within the time. */
    bool isReadableWithin(const Poco::Timespan &time)
    {
        return this->socket.poll(time, Poco::Net::Socket::SELECT_READ);
    }

    void close()
    {
        this->socket.close();
    }

    const std::string &text() const
    {
        return this->received;
    }

private:
    bool receive()
    {
        char buffer[4096];
        try {
            auto count = this->socket.receiveBytes(buffer, sizeof(buffer));
            this->received.append(buffer, static_cast<std::size_t>(std::max(count, 0)));
            return count > 0;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    Poco::Net::StreamSocket socket;
    std::string received;
};

}
