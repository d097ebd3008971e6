#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstddef>

namespace Lovageward {

/** Parameters of ForecastChooser. Only the region is configured by operators. */
struct ForecastSettings
{
    RegionId ownRegion;
    /** Initial number of live nodes that use the same upstreams; updated with ForecastChooser::setNodeCount. */
    std::size_t nodeCount = 1;
    /** Tokens that fit into a KV block of an engine. */
    double tokensPerBlock = 16;
    /** Upstreams per sample. Each decision samples the own region first and the other regions after it. */
    std::size_t sampleSize = 16;
    /** Number of admissible upstreams drawn at random, of which the least loaded is chosen. */
    std::size_t drawnCandidates = 3;
    /** Load, as a share of KV memory, from which prefix affinity no longer determines the choice. */
    double maximumAffinityLoad = 0.75;
    /** Headroom in standard deviations of the forecast while the pool serves requests with a token gap target. */
    double tokenGapDeviations = 1;
    /** Headroom in standard deviations while the pool serves only requests with first token or completion targets. */
    double completionDeviations = 1.15;
    /** Share of KV memory that a newly arrived deferrable request may fill. The rest is reserved for short targets and aged requests. */
    double initialFillLimit = 0.92;
    /**
     * Waiting time over which a deferrable request's fill limit rises to all memory. As nodes decide independently, this also
     * gives a node with long-waiting requests precedence over nodes with recent ones.
     */
    Duration agingTime = seconds(60);
    /** Probability of choosing a cold upstream while warm ones have room, so that cold upstreams warm up. */
    double coldProbability = 0.3;
    /** Time over which the fill limit of an upstream that turned warm rises to its full value. */
    Duration slowStartWindow = seconds(20);
    /** Number of sampled upstreams that a team may use, selected by rendezvous hashing; 0 for all. */
    std::size_t teamSubsetSize = 0;
};

}
