#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EventLog.h>
#include <LibGateway/HostDirectory.h>
#include <LibGateway/PeerTable.h>
#include <LibGateway/StoreEraTracker.h>
#include <LibMembership/PeriodicTask.h>

#include <optional>

namespace Lovageward {

/**
 * Announces this node in the host directory, again when the store was restored from an older copy, and adds the hosts found there to the peer table. Load
 * patterns: nodes that start together, and a restored store.
 */
class HostDirectoryTask final : public PeriodicTask
{
public:
    HostDirectoryTask(const Clock &clock, EventLog &events, HostDirectory &directory, PeerTable &peerTable, StoreEraTracker &storeEras, KnownHost self);

    TimePoint step() override;

private:
    bool mustAnnounce() const;
    TimePoint retryTime();

    const Clock &clock;
    EventLog &events;
    HostDirectory &directory;
    PeerTable &peerTable;
    StoreEraTracker &storeEras;
    KnownHost self;
    /** Era in which this node is announced. */
    std::optional<StoreEra> announcedEra;
    /** Time of the announcement in a new era; random, so that not all nodes call at once. */
    std::optional<TimePoint> announceAgainAt;
    bool hasReadDirectory = false;
};

}
