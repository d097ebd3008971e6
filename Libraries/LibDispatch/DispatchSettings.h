#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace Lovageward {

/** Parameters of the dispatcher that operators don't configure. The defaults suit both deployments. */
struct DispatchSettings
{
    /** Region of this node. */
    RegionId ownRegion;
    /** Maximum number of waiting requests per flow, which is a pair of work class and team. */
    std::size_t flowLimit = 256;
    /**
     * Quantum of the deficit round robin: tokens per round and unit of share. Larger values let class priority reorder more
     * requests across teams, smaller ones keep each team closer to its share at any time.
     */
    double quantumTokens = 1000;
    /** Maximum number of queued requests tried in one pass before the resource counts as full. */
    std::size_t maximumAttemptsPerPass = 8;
    /** Time after which a full resource is tried again even without a new load report, since credits and breakers change over time. */
    Duration blockedRetryInterval = milliseconds(50);
    /** Interval between background passes while requests wait. */
    Duration tickInterval = milliseconds(20);
    /**
     * Time without any usable upstream after which waiting requests are refused. It bridges moments in which the host list is empty
     * while upstreams are replaced.
     */
    Duration noUpstreamGracePeriod = seconds(2);
    /** Maximum ratio of retries to first attempts within `retryWindow`. */
    double retryRatio = 0.1;
    /** Retries per `retryWindow` that are allowed in addition to the ratio. */
    std::uint32_t minimumRetries = 3;
    /** Length of the sliding window over which retries are limited. */
    Duration retryWindow = seconds(10);
    /** Interval at which a waiting thread checks whether its caller is gone. */
    Duration callerCheckInterval = milliseconds(250);
    /** False if the owner calls QueueingDispatcher::tick itself, as tests with a manual clock do. */
    bool hasTickerThread = true;
};

}
