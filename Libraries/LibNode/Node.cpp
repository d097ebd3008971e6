#include <LibNode/Node.h>

#include <LibClaims/ClaimService.h>
#include <LibClaims/ClaimedCallRunner.h>
#include <LibHttp/AdministrationServer.h>
#include <LibHttp/CallerServer.h>
#include <LibHttp/HttpEngineClient.h>
#include <LibHttp/HttpOrderSender.h>
#include <LibHttp/HttpServiceClient.h>
#include <LibNode/NodeStatusUpdater.h>
#include <LibNode/OrderSchedulerAdapter.h>
#include <LibNode/PeerStreamHandover.h>
#include <LibNode/TablePoolView.h>
#include <LibNode/UniformWeightStore.h>

#include <Poco/NumberParser.h>

namespace Lovageward {

namespace {

constexpr unsigned claimThreadCount = 4;
constexpr std::size_t maximumConcurrentClaims = 6;
constexpr std::size_t maximumConcurrentTakeOvers = 2;
constexpr auto claimReportTimeout = seconds(5);
constexpr auto orderReleaseTimeout = seconds(2);
/** Size of the weights of a model with 7 billion parameters of 2 bytes each. */
constexpr ByteCount typicalModelSize(14'000'000'000);

CallerServerSettings makeCallerServerSettings(const NodeSettings &settings)
{
    CallerServerSettings result;
    result.listenAddress = settings.listenAddress;
    result.maximumBodyBytes = settings.maximumBodyBytes;
    result.maximumJsonValues = settings.maximumJsonValues;
    result.maximumThreads = static_cast<int>(settings.maximumConnections);
    result.resumeKey = settings.resumeKey;
    result.relay.tokenGapTimeout = settings.tokenGapLimit;
    return result;
}

AdministrationSettings makeAdministrationSettings(const NodeSettings &settings)
{
    auto colon = settings.administrationListenAddress.rfind(':');
    AdministrationSettings result;
    result.address = settings.administrationListenAddress.substr(0, colon);
    result.port = static_cast<std::uint16_t>(Poco::NumberParser::parseUnsigned(settings.administrationListenAddress.substr(colon + 1)));
    result.keys = settings.administrationKeys;
    return result;
}

/** Runs the order scheduler once a second. */
class OrderSchedulerTask final : public PeriodicTask
{
public:
    OrderSchedulerTask(OrderScheduler &scheduler, const Clock &clock) : scheduler(scheduler), clock(clock)
    {
    }

    TimePoint step() override
    {
        this->scheduler.step();
        return this->clock.now() + seconds(1);
    }

private:
    OrderScheduler &scheduler;
    const Clock &clock;
};

}

class Node::Implementation
{
public:
    explicit Implementation(const NodeSettings &settings);

    void start();
    void stop();

private:
    NodeContext context;
    SharedState shared;
    Routing routing;
    NodeStatusUpdater statusUpdater;
    ClaimService claimService;
    ClaimedCallRunner claimedCallRunner;
    HttpEngineClient engineClient;
    HttpServiceClient serviceClient;
    PeerStreamHandover streamHandover;
    HttpOrderSender orderSender;
    TablePoolView poolView;
    UniformWeightStore weightStore;
    OrderScheduler orderScheduler;
    OrderSchedulerTask orderSchedulerTask;
    OrderSchedulerAdapter orderSchedulerAdapter;
    MemoryAccount memory;
    CallerServer callerServer;
    AdministrationServer administrationServer;
    std::unique_ptr<TaskThread> statusUpdaterThread;
    std::unique_ptr<TaskThread> orderSchedulerThread;
    std::unique_ptr<TaskThread> streamHandoverThread;
};

Node::Implementation::Implementation(const NodeSettings &settings)
    : context(settings)
    , shared(this->context)
    , routing(this->shared)
    , statusUpdater(this->routing)
    , claimService(*this->context.log,
                   this->shared.gossip,
                   this->context.clock,
                   this->context.random,
                   Logger(this->context.sink, "claims"),
                   this->context.counters,
                   ClaimSettings())
    , claimedCallRunner(this->claimService,
                        this->shared.gossip,
                        this->shared.transport,
                        this->context.clock,
                        this->context.random,
                        Logger(this->context.sink, "claims"),
                        this->context.counters)
    , engineClient(this->context.clock, this->context.counters)
    , serviceClient(this->context.clock, this->context.counters)
    , streamHandover(this->context.clock, this->shared.transport, this->shared.gossip, this->engineClient, this->context.counters)
    , orderSender(this->context.clock, this->routing.table)
    , poolView(this->routing.table)
    , weightStore(typicalModelSize)
    , orderScheduler(this->shared.leaseLog,
                     this->weightStore,
                     this->orderSender,
                     this->poolView,
                     this->context.clock,
                     this->context.random,
                     Logger(this->context.sink, "orders"),
                     this->context.counters,
                     this->shared.leaseOwner,
                     OrderSettings())
    , orderSchedulerTask(this->orderScheduler, this->context.clock)
    , orderSchedulerAdapter(this->orderScheduler, this->shared.config)
    , memory(this->context.clock, this->context.settings.memoryLimits)
    , callerServer(CallerServerParts { this->context.clock,
                                       this->context.random,
                                       this->context.sink,
                                       this->context.counters,
                                       this->shared.config,
                                       this->routing.dispatcher,
                                       this->engineClient,
                                       this->serviceClient,
                                       this->claimedCallRunner,
                                       this->statusUpdater,
                                       this->streamHandover,
                                       this->memory },
                   makeCallerServerSettings(this->context.settings))
    , administrationServer(makeAdministrationSettings(this->context.settings),
                           this->context.clock,
                           this->memory,
                           this->context.random,
                           this->context.sink,
                           this->context.counters,
                           this->shared.config,
                           this->shared.auditTrail,
                           this->shared.gossip,
                           this->routing.table,
                           &this->orderSchedulerAdapter)
{
    this->shared.router.registerHandler(PeerMessageKind::ClaimRequest, this->claimService, maximumConcurrentClaims);
    this->shared.router.registerHandler(PeerMessageKind::ClaimResult, this->claimService, maximumConcurrentClaims);
    this->shared.router.registerHandler(PeerMessageKind::StreamTakeOver, this->streamHandover, maximumConcurrentTakeOvers);
}

void Node::Implementation::start()
{
    this->shared.start();
    this->routing.start();
    this->claimService.start(claimThreadCount);
    this->claimedCallRunner.start();
    this->statusUpdaterThread = std::make_unique<TaskThread>(this->context.clock, this->context.sink, "node", this->statusUpdater);
    this->orderSchedulerThread = std::make_unique<TaskThread>(this->context.clock, this->context.sink, "orders", this->orderSchedulerTask);
    this->streamHandoverThread = std::make_unique<TaskThread>(this->context.clock, this->context.sink, "relay", this->streamHandover);
    this->callerServer.start();
    this->context.logger.info(
        "Listening for callers on {}, for operators on {}.", this->context.settings.listenAddress, this->context.settings.administrationListenAddress);
}

void Node::Implementation::stop()
{
    auto deadline = this->context.clock.now() + this->context.settings.shutdownTimeout;
    this->context.logger.info("Shutting down; waiting for running requests to finish.");
    this->routing.dispatcher.stopAcceptingWork();
    auto hasFinishedAll = this->callerServer.stop(deadline);
    this->claimedCallRunner.stop(this->context.clock.now() + claimReportTimeout);
    this->shared.gossip.leave();
    this->streamHandoverThread.reset();
    this->orderSchedulerThread.reset();
    this->orderScheduler.shutDown(this->context.clock.now() + orderReleaseTimeout);
    this->statusUpdaterThread.reset();
    this->claimService.stop();
    this->routing.stop();
    this->shared.stop();
    if (hasFinishedAll) {
        this->context.logger.info("Stopped; all requests finished.");
    } else {
        this->context.logger.warning("Stopped; callers of unfinished streams received resume tokens.");
    }
}

Node::Node(const NodeSettings &settings) : implementation(std::make_unique<Implementation>(settings))
{
}

Node::~Node() = default;

void Node::start()
{
    this->implementation->start();
}

void Node::stop()
{
    this->implementation->stop();
}

}
