#include <LibNode/SharedState.h>

namespace Lovageward {

namespace {

constexpr std::size_t auditCapacity = 20'000;
constexpr std::size_t runnerThreads = 8;
constexpr std::size_t gossipThreads = 8;
constexpr auto pollTime = seconds(2);
/** Time without contact to log and peers after which a drain may have been missed. */
constexpr auto isolationTime = seconds(6);
constexpr std::size_t probeHandlers = 4;
constexpr std::size_t pullHandlers = 2;

}

SharedState::SharedState(NodeBasis &nodeBasis)
    : basis(nodeBasis)
    , auditTrail(auditCapacity)
    , config(nodeBasis.clock, nodeBasis.random, nodeBasis.sink, nodeBasis.counters, *nodeBasis.log, this->auditTrail)
    , tailer(*nodeBasis.log, configStream, this->config, nodeBasis.sink, nodeBasis.counters)
    , router(nodeBasis.sink, nodeBasis.counters)
    , transport(nodeBasis.clock, nodeBasis.sink, this->router)
    , runner(runnerThreads)
    , gossipRunner(gossipThreads)
    , gossip(nodeBasis.clock, nodeBasis.random, this->transport, this->gossipRunner, nodeBasis.sink, nodeBasis.counters, nodeBasis.self())
    , pullHandler(this->config)
    , puller(nodeBasis.clock, nodeBasis.random, nodeBasis.sink, nodeBasis.counters, this->transport, this->gossip, this->config)
    , checkpointWriter(nodeBasis.clock, nodeBasis.sink, nodeBasis.counters, *nodeBasis.log, this->gossip, this->config, logRetention)
    , maintenance(this->config, this->puller, this->checkpointWriter)
    , leaseLog(*nodeBasis.log, nodeBasis.clock)
    , leaseOwner { nodeBasis.settings.host, nodeBasis.incarnation }
{
    this->router.registerHandler(PeerMessageKind::Probe, this->gossip, probeHandlers);
    this->router.registerHandler(PeerMessageKind::IndirectProbe, this->gossip, probeHandlers);
    this->router.registerHandler(PeerMessageKind::ConfigPull, this->pullHandler, pullHandlers);
}

void SharedState::start()
{
    if (!this->basis.settings.isEmbedded()) {
        this->transport.listen(PeerAddress("tcp://" + this->basis.settings.peerListen));
    }
    auto afterStep = [this](LogTailer::Step step) { this->afterTailerStep(step); };
    this->tailerThread.emplace(this->tailer, this->basis.clock, this->basis.random, pollTime, afterStep);
}

void SharedState::stop()
{
    this->tailerThread.reset();
    this->transport.stop();
}

bool SharedState::isIsolated() const
{
    if (this->basis.settings.isEmbedded()) {
        return false;
    }
    auto hasLog = this->config.hasReachedLogSince(this->basis.clock.now() - isolationTime);
    return !hasLog && !this->gossip.canReachAnyPeer();
}

void SharedState::afterTailerStep(LogTailer::Step step)
{
    this->gossip.setConfigOffset(this->config.appliedOffset());
    this->maintenance.afterStep(step);
}

}
