#include <LibNode/GatewayNode.h>

#include <LibCore/Counters.h>
#include <LibCore/Error.h>
#include <LibCore/EventLog.h>
#include <LibCore/Logger.h>
#include <LibCore/SystemClock.h>
#include <LibCore/SystemRandom.h>
#include <LibForward/ControlServer.h>
#include <LibForward/DigestTransport.h>
#include <LibForward/FeedPageCache.h>
#include <LibForward/GatewayServer.h>
#include <LibForward/GatewayShutdown.h>
#include <LibForward/HttpPeerFeed.h>
#include <LibGateway/FeedFollower.h>
#include <LibMembership/TaskThread.h>

#include <fmt/format.h>

#include <unistd.h>
#include <utility>

namespace Lovageward {

namespace {

/** The wait limits how old the topic state can be that a reading node reports to its peers (see PeerTable). */
constexpr FeedPollTiming operatorPollTiming { .maximumWait = milliseconds(600), .pauseAfterRead = milliseconds(10) };

/** Several upstreams often change their entries together, so a short pause between reads reduces the number of reads. */
constexpr FeedPollTiming upstreamPollTiming { .maximumWait = milliseconds(600), .pauseAfterRead = milliseconds(60) };

/** Time for which idle connections stay open after the stop signal. The load balancer sends new ones until two checks, a second apart, have failed. */
constexpr Duration idleConnectionKeepTime = milliseconds(2600);

/** Time between the end of draining and the end of the grace period, at which the process would be killed. */
constexpr Duration shutdownMargin = milliseconds(700);

/** Minimum number of nodes among which the slack of the retry budget and the cold bound is divided. A starting node knows no peers yet. */
constexpr std::size_t assumedNodeCount = 8;

/** Time between reads of the host directory in the store. In between, nodes learn of new hosts from their peers. */
constexpr Duration directoryReadInterval = seconds(30);

/** Time after which the directory is read again for the first time. Hosts that started together have announced themselves by then. */
constexpr Duration initialDirectoryReadInterval = milliseconds(700);
constexpr Duration directoryRetryDelay = seconds(1);
constexpr int directoryRetryJitterFactor = 4;
constexpr Duration directoryCallTimeout = milliseconds(700);

/** Announces this node in the host directory and adds the hosts found there to the peer table. */
class HostDirectoryTask final : public PeriodicTask
{
public:
    HostDirectoryTask(const Clock &clock, EventLog &events, HostDirectory &directory, PeerTable &peerTable, const GatewaySettings &settings)
        : clock(clock)
        , events(events)
        , directory(directory)
        , peerTable(peerTable)
        , self { settings.host, settings.location.failureDomain, settings.peerListenAddress }
    {
    }

    TimePoint step() override
    {
        try {
            if (!this->isAnnounced) {
                this->directory.announce(this->self, this->clock.now() + directoryCallTimeout);
                this->isAnnounced = true;
            }
            for (const auto &peer : this->directory.hosts(this->clock.now() + directoryCallTimeout)) {
                this->peerTable.addKnownHost(peer);
            }
            this->peerTable.markDirectoryRead();
            auto isFirst = !std::exchange(this->hasReadDirectory, true);
            return this->clock.now() + (isFirst ? initialDirectoryReadInterval : directoryReadInterval);
        } catch (const Error &error) {
            this->events.write("directory_failed", { { "announced", this->isAnnounced }, { "reason", error.what() } });
            return this->clock.now() + directoryRetryDelay + directoryRetryJitterFactor * this->peerTable.drawStoreCallJitter();
        }
    }

private:
    const Clock &clock;
    EventLog &events;
    HostDirectory &directory;
    PeerTable &peerTable;
    KnownHost self;
    bool isAnnounced = false;
    bool hasReadDirectory = false;
};

/** Reports ready from the time at which configuration and upstreams have been read until the node shuts down. */
class GatewayReadiness final : public Readiness
{
public:
    GatewayReadiness(const ConfigHolder &config, const FeedFollower &upstreamFollower, const DrainState &drainState)
        : config(config), upstreamFollower(upstreamFollower), drainState(drainState)
    {
    }

    ReadinessReport report() const override
    {
        if (this->drainState.isDraining()) {
            return { false, ResultCode::ShuttingDown, "the node is shutting down" };
        }
        if (!this->config.current() || !this->upstreamFollower.hasSynced()) {
            return { false, ResultCode::NodeStarting, "the node has not read its configuration and upstreams yet" };
        }
        return {};
    }

private:
    const ConfigHolder &config;
    const FeedFollower &upstreamFollower;
    const DrainState &drainState;
};

}

class GatewayNode::Implementation
{
public:
    Implementation(const GatewaySettings &settings, const GatewayDependencies &dependencies)
        : settings(settings)
        , events(this->clock, STDOUT_FILENO, settings.logLinesPerSecond)
        , upstreamRegistry(this->clock)
        , loadTracker(this->clock)
        , tokenTimeTracker(this->clock)
        , upstreamHealth(this->clock)
        , upstreamRefusals(this->clock)
        , statedRateLimits(this->clock)
        , queryOfDeathDetector(this->clock)
        , rateLimiter(this->clock, this->random)
        , upstreamPicker(settings.location, this->random, settings.standbyUtilizationLimit)
        , peerTable(this->clock, this->random, { settings.host, settings.location.failureDomain, settings.peerListenAddress }, assumedNodeCount)
        , requestPlacer(this->clock,
                        this->upstreamRegistry,
                        this->loadTracker,
                        this->tokenTimeTracker,
                        this->upstreamHealth,
                        this->upstreamRefusals,
                        this->statedRateLimits,
                        this->rateLimiter,
                        this->upstreamPicker,
                        this->random,
                        this->peerTable)
        , retryBudgets(this->clock, settings.retryBudgetLimits, this->peerTable)
        , peerFeed(this->clock, this->peerTable, parsePort(settings.controlListenAddress))
        , digestTransport({ this->clock,
                            this->events,
                            this->counters,
                            this->loadTracker,
                            this->tokenTimeTracker,
                            this->peerTable,
                            this->feedMirror,
                            this->upstreamRegistry,
                            this->statedRateLimits,
                            this->queryOfDeathDetector,
                            this->drainState },
                          { settings.host, settings.location.failureDomain, settings.peerListenAddress })
        , feedPageCache(this->feedMirror)
        , operatorFollower(this->clock,
                           this->events,
                           dependencies.operatorFeed,
                           dependencies.decoder,
                           this->peerFeed,
                           { this->config, this->upstreamRegistry, this->feedMirror, this->digestTransport },
                           FeedTopic::Operators,
                           operatorPollTiming)
        , upstreamFollower(this->clock,
                           this->events,
                           dependencies.upstreamFeed,
                           dependencies.decoder,
                           this->peerFeed,
                           { this->config, this->upstreamRegistry, this->feedMirror, this->digestTransport },
                           FeedTopic::Upstreams,
                           upstreamPollTiming)
        , directory(this->clock, this->events, dependencies.directory, this->peerTable, settings)
        , readiness(this->config, this->upstreamFollower, this->drainState)
        , controlServer(this->readiness, this->counters, this->feedPageCache, settings.readinessPath)
        , memory(this->clock, settings.memoryLimits)
        , forwardDependencies { this->clock,
                                this->random,
                                this->events,
                                this->counters,
                                this->config,
                                this->upstreamRegistry,
                                this->requestPlacer,
                                this->tokenTimeTracker,
                                this->upstreamHealth,
                                this->upstreamRefusals,
                                this->statedRateLimits,
                                this->queryOfDeathDetector,
                                this->retryBudgets,
                                this->outputLengthPredictor,
                                dependencies.protocol,
                                this->drainState,
                                this->digestTransport,
                                settings.responseLimits,
                                this->memory,
                                settings.connectionLimits }
        , server(this->forwardDependencies, settings.listenAddress, settings.maximumConnections)
    {
        for (const auto &seed : settings.seedAddresses) {
            this->peerTable.addKnownHost({ HostId(), FailureDomainId(), seed });
        }
    }

    static std::uint16_t parsePort(const std::string &address)
    {
        return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    }

    GatewaySettings settings;
    SystemClock clock;
    SystemRandom random;
    Counters counters;
    StandardErrorSink errorSink { LogLevel::Info };
    JsonEventLog events;
    DrainState drainState;
    ConfigHolder config;
    UpstreamRegistry upstreamRegistry;
    FeedMirror feedMirror;
    LoadTracker loadTracker;
    TokenTimeTracker tokenTimeTracker;
    UpstreamHealth upstreamHealth;
    UpstreamRefusals upstreamRefusals;
    StatedRateLimits statedRateLimits;
    QueryOfDeathDetector queryOfDeathDetector;
    UpstreamRateLimiter rateLimiter;
    UpstreamPicker upstreamPicker;
    PeerTable peerTable;
    RequestPlacer requestPlacer;
    PoolRetryBudgets retryBudgets;
    OutputLengthPredictor outputLengthPredictor;
    HttpPeerFeed peerFeed;
    DigestTransport digestTransport;
    FeedPageCache feedPageCache;
    FeedFollower operatorFollower;
    FeedFollower upstreamFollower;
    HostDirectoryTask directory;
    GatewayReadiness readiness;
    ControlServer controlServer;
    MemoryAccount memory;
    ForwardDependencies forwardDependencies;
    GatewayServer server;
    /** Declared last, so that the threads end before the components that they use are destroyed. */
    std::vector<std::unique_ptr<TaskThread>> threads;
};

GatewayNode::GatewayNode(const GatewaySettings &settings, const GatewayDependencies &dependencies)
    : implementation(std::make_unique<Implementation>(settings, dependencies))
{
}

GatewayNode::~GatewayNode() = default;

void GatewayNode::start()
{
    auto &state = *this->implementation;
    state.events.write("start", { { "host", state.settings.host.value() }, { "version", LOVAGEWARD_VERSION }, { "listen", state.settings.listenAddress } });
    auto startTask
        = [&](const char *name, PeriodicTask &task) { state.threads.push_back(std::make_unique<TaskThread>(state.clock, state.errorSink, name, task)); };
    startTask("operators", state.operatorFollower);
    startTask("upstreams", state.upstreamFollower);
    startTask("peers", state.digestTransport);
    startTask("directory", state.directory);
    state.digestTransport.setSenderThread(state.threads[2].get());
    state.digestTransport.setFeedFollowers({ &state.operatorFollower, &state.upstreamFollower }, { state.threads[0].get(), state.threads[1].get() });
    state.controlServer.listen(state.settings.readinessListenAddress);
    state.controlServer.listen(state.settings.controlListenAddress);
    state.server.start();
}

bool GatewayNode::stop()
{
    auto &state = *this->implementation;
    auto startedAt = state.clock.now();
    GatewayShutdown shutdown(state.clock, state.events, state.drainState, state.server);
    auto isComplete = shutdown.run(startedAt + idleConnectionKeepTime, startedAt + state.settings.gracePeriod - shutdownMargin);
    state.events.flush();
    return isComplete;
}

void GatewayNode::settingsChanged(const GatewaySettings &changed)
{
    auto &state = *this->implementation;
    for (const auto &seed : changed.seedAddresses) {
        state.peerTable.addKnownHost({ HostId(), FailureDomainId(), seed });
    }
    state.settings.gracePeriod = changed.gracePeriod;
    auto needsRestart = settingsThatNeedRestart(state.settings, changed);
    state.events.write("reload", { { "needs_restart", fmt::format("{}", fmt::join(needsRestart, ", ")) }, { "seeds", changed.seedAddresses.size() } });
}

void GatewayNode::settingsRejected(const std::string &reason)
{
    this->implementation->events.write("reload_rejected", { { "reason", reason } });
}

}
