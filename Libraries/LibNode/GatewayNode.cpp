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
#include <LibGateway/HostDirectoryTask.h>
#include <LibGateway/RolloutController.h>
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

/** Reports on roll-outs are read as often as the operators' records. */
constexpr FeedPollTiming statusPollTiming = operatorPollTiming;

/** Range of the random ids of processes in the evidence about roll-outs. */
constexpr std::size_t processIdRange = std::size_t(1) << 48U;

/** Time for which idle connections stay open after the stop signal. The load balancer sends new ones until two checks, a second apart, have failed. */
constexpr Duration idleConnectionKeepTime = milliseconds(2600);

/** Time between the end of draining and the end of the grace period, at which the process would be killed. */
constexpr Duration shutdownMargin = milliseconds(700);

/** Time after which an idle connection, or one whose request isn't complete, gives its place to a new one if all are taken. */
constexpr Duration idlePlaceTime = milliseconds(250);
constexpr Duration unfinishedPlaceTime = seconds(1);

/** Minimum number of nodes among which the slack of the retry budget and the cold bound is divided. A starting node knows no peers yet. */
constexpr std::size_t assumedNodeCount = 8;

/** Logs each new era of the store and wakes the thread that announces this node, whose announcement may be lost. */
class StoreEraObserver final : public StoreEraListener
{
public:
    StoreEraObserver(EventLog &events, Counters &counters) : events(events), eraGauge(counters.counter("lovageward_store_era"))
    {
    }

    void onStoreEra(StoreEra era) override
    {
        this->eraGauge.set(static_cast<std::int64_t>(era.value()));
        this->events.write("store_era_known", { { "era", era.value() } });
        if (auto *thread = this->directoryThread.load()) {
            thread->wake();
        }
    }

    void setDirectoryThread(TaskThread *thread)
    {
        this->directoryThread = thread;
    }

private:
    EventLog &events;
    Counter &eraGauge;
    std::atomic<TaskThread *> directoryThread = nullptr;
};

/** Reports, from the state of the followers, which topics were read. */
class FollowerSync final : public RecordSync
{
public:
    /** To be called before the threads start. */
    void setFollowers(const FeedFollower &operators, const FeedFollower &upstreams, const FeedFollower &reports)
    {
        this->operatorFollower = &operators;
        this->upstreamFollower = &upstreams;
        this->statusFollower = &reports;
    }

    bool hasUpstreams() const override
    {
        return this->upstreamFollower != nullptr && this->upstreamFollower->hasSynced();
    }

    bool hasOrders() const override
    {
        return this->operatorFollower != nullptr && this->operatorFollower->hasSynced();
    }

    bool hasReports() const override
    {
        return this->statusFollower != nullptr && this->statusFollower->hasSynced();
    }

private:
    const FeedFollower *operatorFollower = nullptr;
    const FeedFollower *upstreamFollower = nullptr;
    const FeedFollower *statusFollower = nullptr;
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
        , upstreamSpeeds(this->clock, this->loadTracker, settings.usesReportedLoadOfAllPools)
        , upstreamPicker(settings.location, this->random, settings.standbyUtilizationLimit)
        , peerTable(this->clock, this->random, { settings.host, settings.location.failureDomain, settings.peerListenAddress }, assumedNodeCount)
        , rolloutController(this->makeRolloutController(dependencies))
        , requestPlacer(this->clock,
                        this->upstreamRegistry,
                        this->loadTracker,
                        this->tokenTimeTracker,
                        this->upstreamHealth,
                        this->upstreamRefusals,
                        this->statedRateLimits,
                        this->rateLimiter,
                        this->upstreamSpeeds,
                        this->upstreamPicker,
                        this->random,
                        this->peerTable,
                        this->rolloutController.get())
        , waitingRequests(this->clock, this->random, this->counters)
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
                            this->upstreamSpeeds,
                            this->drainState,
                            this->storeEras,
                            this->rolloutController.get() },
                          { settings.host, settings.location.failureDomain, settings.peerListenAddress })
        , feedPageCache(this->feedMirror)
        , operatorFollower(this->clock,
                           this->events,
                           dependencies.operatorFeed,
                           dependencies.decoder,
                           this->peerFeed,
                           { this->config, this->upstreamRegistry, this->feedMirror, this->digestTransport, this->storeEras, this->rolloutController.get() },
                           FeedTopic::Operators,
                           operatorPollTiming)
        , upstreamFollower(this->clock,
                           this->events,
                           dependencies.upstreamFeed,
                           dependencies.decoder,
                           this->peerFeed,
                           { this->config, this->upstreamRegistry, this->feedMirror, this->digestTransport, this->storeEras },
                           FeedTopic::Upstreams,
                           upstreamPollTiming)
        , statusFollower(this->makeStatusFollower(dependencies))
        , storeEraObserver(this->events, this->counters)
        , directory(this->clock,
                    this->events,
                    dependencies.directory,
                    this->peerTable,
                    this->storeEras,
                    { settings.host, settings.location.failureDomain, settings.peerListenAddress })
        , readiness(this->config, this->upstreamFollower, this->drainState)
        , memory(this->clock, settings.memoryLimits)
        , controlServer({ this->clock, this->events, this->memory, this->readiness, this->counters, this->feedPageCache }, settings.readinessPath)
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
                                this->upstreamSpeeds,
                                this->retryBudgets,
                                this->outputLengthPredictor,
                                dependencies.protocol,
                                this->drainState,
                                this->digestTransport,
                                settings.responseLimits,
                                this->memory,
                                settings.connectionLimits,
                                this->waitingRequests,
                                settings.waitOrder.value_or(WaitOrder::Arrival),
                                this->memory.addListener({ settings.memoryLimits.connectionBytes, idlePlaceTime, unfinishedPlaceTime }) }
        , server(this->forwardDependencies, settings.listenAddress, settings.maximumConnections)
    {
        this->storeEras.addListener(this->digestTransport);
        this->storeEras.addListener(this->storeEraObserver);
        for (const auto &seed : settings.seedAddresses) {
            this->peerTable.addKnownHost({ HostId(), FailureDomainId(), seed });
        }
        if (this->rolloutController) {
            this->followerSync.setFollowers(this->operatorFollower, this->upstreamFollower, *this->statusFollower);
            this->rolloutController->setListener(&this->digestTransport);
        }
    }

    /** Returns nullptr if roll-outs are disabled. */
    std::unique_ptr<RolloutController> makeRolloutController(const GatewayDependencies &dependencies)
    {
        if (!this->settings.rolloutLimits) {
            return nullptr;
        }
        return std::make_unique<RolloutController>(RolloutDependencies { this->clock,
                                                                         this->events,
                                                                         this->counters,
                                                                         this->upstreamRegistry,
                                                                         this->loadTracker,
                                                                         this->peerTable,
                                                                         this->followerSync,
                                                                         dependencies.statusBoard },
                                                   *this->settings.rolloutLimits,
                                                   this->settings.host,
                                                   this->settings.location,
                                                   this->random.below(processIdRange) + 1);
    }

    /** Returns nullptr if roll-outs are disabled. */
    std::unique_ptr<FeedFollower> makeStatusFollower(const GatewayDependencies &dependencies)
    {
        if (!this->rolloutController) {
            return nullptr;
        }
        return std::make_unique<FeedFollower>(
            this->clock,
            this->events,
            dependencies.statusFeed,
            dependencies.decoder,
            this->peerFeed,
            FeedTargets { this->config, this->upstreamRegistry, this->feedMirror, this->digestTransport, this->storeEras, this->rolloutController.get() },
            FeedTopic::Status,
            statusPollTiming);
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
    StoreEraTracker storeEras;
    LoadTracker loadTracker;
    TokenTimeTracker tokenTimeTracker;
    UpstreamHealth upstreamHealth;
    UpstreamRefusals upstreamRefusals;
    StatedRateLimits statedRateLimits;
    QueryOfDeathDetector queryOfDeathDetector;
    UpstreamRateLimiter rateLimiter;
    UpstreamSpeedTracker upstreamSpeeds;
    UpstreamPicker upstreamPicker;
    PeerTable peerTable;
    FollowerSync followerSync;
    /** nullptr if roll-outs are disabled, as is the follower of the reports. */
    std::unique_ptr<RolloutController> rolloutController;
    RequestPlacer requestPlacer;
    WaitingRequests waitingRequests;
    PoolRetryBudgets retryBudgets;
    OutputLengthPredictor outputLengthPredictor;
    HttpPeerFeed peerFeed;
    DigestTransport digestTransport;
    FeedPageCache feedPageCache;
    FeedFollower operatorFollower;
    FeedFollower upstreamFollower;
    std::unique_ptr<FeedFollower> statusFollower;
    StoreEraObserver storeEraObserver;
    HostDirectoryTask directory;
    GatewayReadiness readiness;
    MemoryAccount memory;
    ControlServer controlServer;
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
    state.storeEraObserver.setDirectoryThread(state.threads[3].get());
    TaskThread *statusThread = nullptr;
    if (state.rolloutController) {
        startTask("reports", *state.statusFollower);
        statusThread = state.threads.back().get();
        startTask("rollouts", *state.rolloutController);
    }
    state.digestTransport.setSenderThread(state.threads[2].get());
    state.digestTransport.setFeedFollowers({ &state.operatorFollower, &state.upstreamFollower, state.statusFollower.get() },
                                           { state.threads[0].get(), state.threads[1].get(), statusThread });
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
