#include <LibNode/Routing.h>

namespace Lovageward {

namespace {

/** A load report older than this makes an upstream cold for new work. */
constexpr auto maximumReportAge = seconds(5);
/** Part of a node's share of the link that streams can't use, so that drains and credits get through. */
constexpr double controlShare = 0.1;
constexpr std::size_t digestHandlers = 4;
constexpr std::size_t creditHandlers = 4;

std::uint64_t nonZero(std::uint64_t number)
{
    return number == 0 ? 1 : number;
}

FanoutOptions fanoutOf(const NodeSettings &settings)
{
    FanoutOptions options;
    options.ownersPerNode = settings.digestFanOut;
    return options;
}

DispatchSettings dispatchSettingsOf(const NodeSettings &settings)
{
    DispatchSettings result;
    result.ownRegion = settings.region;
    return result;
}

ForecastSettings forecastSettingsOf(const NodeSettings &settings)
{
    ForecastSettings result;
    result.ownRegion = settings.region;
    return result;
}

}

Routing::Routing(SharedState &sharedState)
    : shared(sharedState)
    , table(sharedState.basis.clock, maximumReportAge)
    , ownership(sharedState.gossip, fanoutOf(sharedState.basis.settings))
    , directory(sharedState.basis.clock, this->table, sharedState.config, this->ownership, sharedState.basis.sink)
    , hostListPoller(
          sharedState.basis.clock, sharedState.basis.sink, sharedState.basis.counters, *sharedState.basis.hostList, { &sharedState.gossip, &this->directory })
    , probe(sharedState.basis.clock)
    , digestSender(sharedState.basis.clock,
                   sharedState.transport,
                   sharedState.runner,
                   sharedState.basis.sink,
                   sharedState.basis.counters,
                   sharedState.basis.settings.host)
    , digestReceiver(sharedState.basis.clock, sharedState.gossip, this->table, nonZero(sharedState.basis.random.next()))
    , coldStartLease(sharedState.leaseLog, sharedState.basis.clock, sharedState.basis.random, sharedState.leaseOwner, LeaseSettings())
    , creditOwner(sharedState.basis.clock, sharedState.basis.random, this->coldStartLease, sharedState.basis.sink, sharedState.basis.counters)
    , creditClient(sharedState.basis.clock,
                   sharedState.transport,
                   sharedState.runner,
                   this->table,
                   this->ownership,
                   sharedState.basis.settings.host,
                   sharedState.basis.sink,
                   sharedState.basis.counters,
                   [this] { this->wakeCreditClient(); })
    , loadPoller(sharedState.basis.clock,
                 sharedState.runner,
                 this->probe,
                 this->table,
                 this->ownership,
                 sharedState.config,
                 this->digestSender,
                 { &this->creditOwner },
                 sharedState.basis.sink,
                 sharedState.basis.counters)
    , chooser(sharedState.basis.clock, sharedState.basis.random, this->table, forecastSettingsOf(sharedState.basis.settings))
    , link(sharedState.basis.clock, sharedState.basis.counters, sharedState.basis.settings.linkBytesPerSecond, controlShare)
    , dispatcher(dispatchSettingsOf(sharedState.basis.settings),
                 sharedState.basis.clock,
                 sharedState.basis.random,
                 sharedState.config,
                 this->table,
                 this->chooser,
                 this->creditClient,
                 this->link,
                 sharedState.basis.counters,
                 sharedState.basis.sink)
{
    this->shared.router.registerHandler(PeerMessageKind::LoadDigest, this->digestReceiver, digestHandlers);
    this->shared.router.registerHandler(PeerMessageKind::CreditRequest, this->creditOwner, creditHandlers);
    this->shared.router.registerHandler(PeerMessageKind::CreditReturn, this->creditOwner, creditHandlers);
}

void Routing::start()
{
    auto run = [this](const char *part, PeriodicTask &task) {
        this->threads.push_back(std::make_unique<TaskThread>(this->shared.basis.clock, this->shared.basis.sink, part, task));
    };
    this->creditClientThread = std::make_unique<TaskThread>(this->shared.basis.clock, this->shared.basis.sink, "credits", this->creditClient);
    run("hosts", this->hostListPoller);
    run("gossip", this->shared.gossip);
    run("directory", this->directory);
    run("credits", this->creditOwner);
    run("load", this->loadPoller);
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
