#pragma once

#include <LibCore/Time.h>
#include <LibRelay/GenerationTarget.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Lovageward {

/** Limits of AbandonedStreams. */
struct AbandonedStreamLimits
{
    /** Time for which a caller may resume before its generation is cancelled. */
    Duration resumeTime = seconds(10);
    /** Time for which a take-over is recorded; at least the lifetime of a resume token. */
    Duration takeOverRetention = minutes(15);
    /** Maximum number of abandoned generations; further ones are cancelled at once. */
    std::size_t maximumAbandoned = 1024;
    /** Maximum number of recorded take-overs; beyond it the one that expires first is dropped. */
    std::size_t maximumTakeOvers = 4096;
};

/**
 * Tracks the generations whose callers have disconnected, and the take-overs of this node's generations by other nodes. A
 * take-over may arrive before this node notices that the caller is gone. Not thread-safe.
 */
class AbandonedStreams
{
public:
    explicit AbandonedStreams(const AbandonedStreamLimits &limits);

    /**
     * Schedules the cancellation of a generation at the end of the resume time. Ignored if another node or a later relay of
     * this node has taken the generation over.
     */
    void abandon(const GenerationTarget &target, TimePoint now);

    /**
     * Records that another node relays the generation from now on. Returns the node that had taken it over before, if any;
     * that node has to be notified as well.
     */
    std::optional<HostId> takeOver(const GenerationId &generation, const HostId &byHost, TimePoint now);

    /**
     * Records that this node relays the generation from now on. With `isOwn`, an earlier relay of this node may not have
     * noticed yet that its caller is gone; its late abandonment must not cancel the resumed generation.
     */
    void resumeLocally(const GenerationId &generation, bool isOwn, TimePoint now);

    /** Removes and returns the generations whose resume time is over and that must be cancelled. */
    std::vector<GenerationTarget> takeDue(TimePoint now);

    std::size_t size() const;

private:
    struct AbandonedStream
    {
        GenerationTarget target;
        TimePoint cancelAt;
    };

    struct TakenOver
    {
        HostId byHost;
        TimePoint expiresAt;
    };

    void removeExpired(TimePoint now);

    AbandonedStreamLimits limits;
    std::map<GenerationId, AbandonedStream> abandoned;
    std::map<GenerationId, TakenOver> takenOver;
    /** Generations whose next abandonment comes from an earlier relay and is ignored, each with the time when its entry expires. */
    std::map<GenerationId, TimePoint> earlierRelays;
};

}
