#include <LibNode/SharedState.h>

namespace Lovageward {

namespace {

constexpr std::size_t auditCapacity = 20'000;
constexpr std::size_t runnerThreadCount = 8;
constexpr std::size_t gossipThreadCount = 8;
constexpr auto pollInterval = seconds(2);
/** Time without contact to the log after which a node that reaches no peer either counts as isolated, because it may have missed a drain. */
constexpr auto isolationTimeout = seconds(6);
constexpr std::size_t maximumConcurrentProbes = 4;
constexpr std::size_t maximumConcurrentPulls = 2;

}

SharedState::SharedState(NodeContext &nodeContext)
    : context(nodeContext)
    , auditTrail(auditCapacity)
    , config(nodeContext.clock, nodeContext.random, nodeContext.sink, nodeContext.counters, *nodeContext.log, this->auditTrail)
    , tailer(*nodeContext.log, configStream, this->config, nodeContext.sink, nodeContext.counters)
    , router(nodeContext.sink, nodeContext.counters)
    , transport(nodeContext.clock, nodeContext.sink, this->router)
    , runner(runnerThreadCount)
    , gossipRunner(gossipThreadCount)
    , gossip(nodeContext.clock, nodeContext.random, this->transport, this->gossipRunner, nodeContext.sink, nodeContext.counters, nodeContext.self())
    , pullHandler(this->config)
    , puller(nodeContext.clock, nodeContext.random, nodeContext.sink, nodeContext.counters, this->transport, this->gossip, this->config)
    , checkpointWriter(nodeContext.clock, nodeContext.sink, nodeContext.counters, *nodeContext.log, this->gossip, this->config, logRetention)
    , maintenance(this->config, this->puller, this->checkpointWriter)
    , leaseLog(*nodeContext.log, nodeContext.clock)
    , leaseOwner { nodeContext.settings.host, nodeContext.incarnation }
{
    this->router.registerHandler(PeerMessageKind::Probe, this->gossip, maximumConcurrentProbes);
    this->router.registerHandler(PeerMessageKind::IndirectProbe, this->gossip, maximumConcurrentProbes);
    this->router.registerHandler(PeerMessageKind::ConfigPull, this->pullHandler, maximumConcurrentPulls);
}

void SharedState::start()
{
    if (!this->context.settings.isEmbedded()) {
        this->transport.listen(PeerAddress("tcp://" + this->context.settings.peerListenAddress));
    }
    auto afterStep = [this](LogTailer::Step step) { this->afterTailerStep(step); };
    this->tailerThread.emplace(this->tailer, this->context.clock, this->context.random, pollInterval, afterStep);
}

void SharedState::stop()
{
    this->tailerThread.reset();
    this->transport.stop();
}

bool SharedState::isIsolated() const
{
    if (this->context.settings.isEmbedded()) {
        return false;
    }
    auto hasLog = this->config.hasReachedLogSince(this->context.clock.now() - isolationTimeout);
    return !hasLog && !this->gossip.canReachAnyPeer();
}

void SharedState::afterTailerStep(LogTailer::Step step)
{
    this->gossip.setConfigOffset(this->config.appliedOffset());
    this->maintenance.afterStep(step);
}

}
