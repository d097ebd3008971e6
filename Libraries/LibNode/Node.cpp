#include <LibNode/Node.h>

#include <LibClaims/ClaimService.h>
#include <LibClaims/ClaimedCallRunner.h>
#include <LibHttp/AdministrationServer.h>
#include <LibHttp/CallerServer.h>
#include <LibHttp/HttpEngineClient.h>
#include <LibHttp/HttpOrderSender.h>
#include <LibHttp/HttpServiceClient.h>
#include <LibNode/NodeUpkeep.h>
#include <LibNode/PeerStreamHandover.h>
#include <LibNode/SchedulerOrderDesk.h>
#include <LibNode/TablePoolView.h>
#include <LibNode/UniformWeightStore.h>

#include <Poco/NumberParser.h>

namespace Lovageward {

namespace {

constexpr unsigned claimThreads = 4;
constexpr std::size_t claimHandlers = 6;
constexpr std::size_t takeOverHandlers = 2;
constexpr auto claimReportLimit = seconds(5);
constexpr auto orderReleaseLimit = seconds(2);
/** Weights of a model of 7 billion parameters with 2 bytes each. */
constexpr ByteCount typicalWeights(14'000'000'000);

CallerServerSettings callerSettingsOf(const NodeSettings &settings)
{
    CallerServerSettings result;
    result.listenAddress = settings.listen;
    result.maximumBodyBytes = settings.maximumBodyBytes;
    result.maximumThreads = static_cast<int>(settings.maximumConnections);
    result.resumeKey = settings.resumeKey;
    result.relay.gapLimit = settings.tokenGapLimit;
    return result;
}

AdministrationSettings administrationSettingsOf(const NodeSettings &settings)
{
    auto colon = settings.administrationListen.rfind(':');
    AdministrationSettings result;
    result.address = settings.administrationListen.substr(0, colon);
    result.port = static_cast<std::uint16_t>(Poco::NumberParser::parseUnsigned(settings.administrationListen.substr(colon + 1)));
    result.keys = settings.administrationKeys;
    return result;
}

/** Steps the order scheduler once a second. */
class OrderTask final : public PeriodicTask
{
public:
    OrderTask(OrderScheduler &scheduler, const Clock &clock) : scheduler(scheduler), clock(clock)
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
    NodeBasis basis;
    SharedState shared;
    Routing routing;
    NodeUpkeep upkeep;
    ClaimService claims;
    ClaimedCallRunner claimedCalls;
    HttpEngineClient engines;
    HttpServiceClient services;
    PeerStreamHandover handover;
    HttpOrderSender orderSender;
    TablePoolView poolView;
    UniformWeightStore weightStore;
    OrderScheduler orders;
    OrderTask orderTask;
    SchedulerOrderDesk orderDesk;
    CallerServer callers;
    AdministrationServer administration;
    std::unique_ptr<TaskThread> upkeepThread;
    std::unique_ptr<TaskThread> orderThread;
    std::unique_ptr<TaskThread> handoverThread;
};

Node::Implementation::Implementation(const NodeSettings &settings)
    : basis(settings)
    , shared(this->basis)
    , routing(this->shared)
    , upkeep(this->routing)
    , claims(*this->basis.log,
             this->shared.gossip,
             this->basis.clock,
             this->basis.random,
             Logger(this->basis.sink, "claims"),
             this->basis.counters,
             ClaimSettings())
    , claimedCalls(this->claims,
                   this->shared.gossip,
                   this->shared.transport,
                   this->basis.clock,
                   this->basis.random,
                   Logger(this->basis.sink, "claims"),
                   this->basis.counters)
    , engines(this->basis.clock, this->basis.counters)
    , services(this->basis.clock, this->basis.counters)
    , handover(this->basis.clock, this->shared.transport, this->shared.gossip, this->engines, this->basis.counters)
    , orderSender(this->basis.clock, this->routing.table)
    , poolView(this->routing.table)
    , weightStore(typicalWeights)
    , orders(this->shared.leaseLog,
             this->weightStore,
             this->orderSender,
             this->poolView,
             this->basis.clock,
             this->basis.random,
             Logger(this->basis.sink, "orders"),
             this->basis.counters,
             this->shared.leaseOwner,
             OrderSettings())
    , orderTask(this->orders, this->basis.clock)
    , orderDesk(this->orders, this->shared.config)
    , callers(CallerServerParts { this->basis.clock,
                                  this->basis.random,
                                  this->basis.sink,
                                  this->basis.counters,
                                  this->shared.config,
                                  this->routing.dispatcher,
                                  this->engines,
                                  this->services,
                                  this->claimedCalls,
                                  this->upkeep,
                                  this->handover },
              callerSettingsOf(this->basis.settings))
    , administration(administrationSettingsOf(this->basis.settings),
                     this->basis.clock,
                     this->basis.random,
                     this->basis.sink,
                     this->basis.counters,
                     this->shared.config,
                     this->shared.auditTrail,
                     this->shared.gossip,
                     this->routing.table,
                     &this->orderDesk)
{
    this->shared.router.registerHandler(PeerMessageKind::ClaimRequest, this->claims, claimHandlers);
    this->shared.router.registerHandler(PeerMessageKind::ClaimResult, this->claims, claimHandlers);
    this->shared.router.registerHandler(PeerMessageKind::StreamTakeOver, this->handover, takeOverHandlers);
}

void Node::Implementation::start()
{
    this->shared.start();
    this->routing.start();
    this->claims.start(claimThreads);
    this->claimedCalls.start();
    this->upkeepThread = std::make_unique<TaskThread>(this->basis.clock, this->basis.sink, "node", this->upkeep);
    this->orderThread = std::make_unique<TaskThread>(this->basis.clock, this->basis.sink, "orders", this->orderTask);
    this->handoverThread = std::make_unique<TaskThread>(this->basis.clock, this->basis.sink, "relay", this->handover);
    this->callers.start();
    this->basis.logger.info("Listening for callers on {}, for operators on {}.", this->basis.settings.listen, this->basis.settings.administrationListen);
}

void Node::Implementation::stop()
{
    auto deadline = this->basis.clock.now() + this->basis.settings.shutdownLimit;
    this->basis.logger.info("Shutting down: running requests finish.");
    this->routing.dispatcher.stop();
    auto isComplete = this->callers.stop(deadline);
    this->claimedCalls.stop(this->basis.clock.now() + claimReportLimit);
    this->shared.gossip.leave();
    this->handoverThread.reset();
    this->orderThread.reset();
    this->orders.shutDown(this->basis.clock.now() + orderReleaseLimit);
    this->upkeepThread.reset();
    this->claims.stop();
    this->routing.stop();
    this->shared.stop();
    if (isComplete) {
        this->basis.logger.info("Stopped; all requests had finished.");
    } else {
        this->basis.logger.warning("Stopped; callers of running streams got their resume tokens.");
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
