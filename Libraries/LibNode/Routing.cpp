#include <LibNode/Routing.h>

namespace Lovageward {

namespace {

/** Maximum age of a load report. An upstream without a newer report counts as cold for new work. */
constexpr auto maximumReportAge = seconds(5);
/** Fraction of a node's link share that is reserved for control traffic, so that streams don't delay drains and credits. */
constexpr double controlLinkShare = 0.1;
constexpr std::size_t maximumConcurrentDigests = 4;
constexpr std::size_t maximumConcurrentCreditMessages = 4;

std::uint64_t makeNonZero(std::uint64_t number)
{
    return number == 0 ? 1 : number;
}

FanoutOptions makeFanoutOptions(const NodeSettings &settings)
{
    FanoutOptions options;
    options.ownersPerNode = settings.digestFanOut;
    return options;
}

DispatchSettings makeDispatchSettings(const NodeSettings &settings)
{
    DispatchSettings result;
    result.ownRegion = settings.region;
    return result;
}

ForecastSettings makeForecastSettings(const NodeSettings &settings)
{
    ForecastSettings result;
    result.ownRegion = settings.region;
    return result;
}

}

Routing::Routing(SharedState &sharedState)
    : shared(sharedState)
    , table(sharedState.context.clock, maximumReportAge)
    , ownership(sharedState.gossip, makeFanoutOptions(sharedState.context.settings))
    , directory(sharedState.context.clock, this->table, sharedState.config, this->ownership, sharedState.context.sink)
    , hostListPoller(sharedState.context.clock,
                     sharedState.context.sink,
                     sharedState.context.counters,
                     *sharedState.context.hostList,
                     { &sharedState.gossip, &this->directory })
    , probe(sharedState.context.clock)
    , digestSender(sharedState.context.clock,
                   sharedState.transport,
                   sharedState.runner,
                   sharedState.context.sink,
                   sharedState.context.counters,
                   sharedState.context.settings.host)
    , digestReceiver(sharedState.context.clock, sharedState.gossip, this->table, makeNonZero(sharedState.context.random.next()))
    , coldStartLease(sharedState.leaseLog, sharedState.context.clock, sharedState.context.random, sharedState.leaseOwner, LeaseSettings())
    , creditOwner(sharedState.context.clock, sharedState.context.random, this->coldStartLease, sharedState.context.sink, sharedState.context.counters)
    , creditClient(sharedState.context.clock,
                   sharedState.transport,
                   sharedState.runner,
                   this->table,
                   this->ownership,
                   sharedState.context.settings.host,
                   sharedState.context.sink,
                   sharedState.context.counters,
                   [this] { this->wakeCreditClient(); })
    , loadPoller(sharedState.context.clock,
                 sharedState.runner,
                 this->probe,
                 this->table,
                 this->ownership,
                 sharedState.config,
                 this->digestSender,
                 { &this->creditOwner },
                 sharedState.context.sink,
                 sharedState.context.counters)
    , chooser(sharedState.context.clock, sharedState.context.random, this->table, makeForecastSettings(sharedState.context.settings))
    , link(sharedState.context.clock, sharedState.context.counters, sharedState.context.settings.linkBytesPerSecond, controlLinkShare)
    , dispatcher(makeDispatchSettings(sharedState.context.settings),
                 sharedState.context.clock,
                 sharedState.context.random,
                 sharedState.config,
                 this->table,
                 this->chooser,
                 this->creditClient,
                 this->link,
                 sharedState.context.counters,
                 sharedState.context.sink)
{
    this->shared.router.registerHandler(PeerMessageKind::LoadDigest, this->digestReceiver, maximumConcurrentDigests);
    this->shared.router.registerHandler(PeerMessageKind::CreditRequest, this->creditOwner, maximumConcurrentCreditMessages);
    this->shared.router.registerHandler(PeerMessageKind::CreditReturn, this->creditOwner, maximumConcurrentCreditMessages);
}

void Routing::start()
{
    auto startTask = [this](const char *name, PeriodicTask &task) {
        this->threads.push_back(std::make_unique<TaskThread>(this->shared.context.clock, this->shared.context.sink, name, task));
    };
    this->creditClientThread = std::make_unique<TaskThread>(this->shared.context.clock, this->shared.context.sink, "credits", this->creditClient);
    startTask("hosts", this->hostListPoller);
    startTask("gossip", this->shared.gossip);
    startTask("directory", this->directory);
    startTask("credits", this->creditOwner);
    startTask("load", this->loadPoller);
}

void Routing::stop()
{
    this->threads.clear();
    this->creditClientThread.reset();
}

void Routing::wakeCreditClient()
{
    if (this->creditClientThread) {
        this->creditClientThread->wake();
    }
}

}
