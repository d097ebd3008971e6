#pragma once

#include <LibConfig/AuditTrail.h>
#include <LibConfig/CheckpointWriter.h>
#include <LibConfig/ConfigMaintenance.h>
#include <LibConfig/ConfigPullHandler.h>
#include <LibConfig/ConfigPuller.h>
#include <LibConfig/ConfigStore.h>
#include <LibLease/LeaseLog.h>
#include <LibLog/LogTailer.h>
#include <LibLog/TailerThread.h>
#include <LibMembership/GossipAgent.h>
#include <LibMembership/ThreadPoolRunner.h>
#include <LibNode/NodeContext.h>
#include <LibPeer/NngPeerTransport.h>
#include <LibPeer/PeerRouter.h>

#include <optional>

namespace Lovageward {

/** Components that maintain the state shared by all nodes (configuration, membership and leases) and exchange messages with peers. */
struct SharedState
{
    explicit SharedState(NodeContext &nodeContext);

    /** Starts reading the configuration stream and receiving messages from peers. */
    void start();
    void stop();

    /** True if this node reaches neither the log nor any peer, so that it would not learn of a drain. */
    bool isIsolated() const;

    NodeContext &context;
    AuditTrail auditTrail;
    ConfigStore config;
    LogTailer tailer;
    PeerRouter router;
    NngPeerTransport transport;
    /** Runs polls, digests and credit messages, which may wait for hosts that don't respond. */
    ThreadPoolRunner runner;
    /** Runs probes only. A probe that queued behind a call to an unresponsive upstream would time out and make a live node look dead. */
    ThreadPoolRunner gossipRunner;
    GossipAgent gossip;
    ConfigPullHandler pullHandler;
    ConfigPuller puller;
    CheckpointWriter checkpointWriter;
    ConfigMaintenance maintenance;
    LeaseLog leaseLog;
    LeaseOwner leaseOwner;

private:
    void afterTailerStep(LogTailer::Step step);

    std::optional<TailerThread> tailerThread;
};

}
