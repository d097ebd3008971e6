#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/PromptPartReport.h>
#include <LibGateway/UpstreamRecord.h>

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lovageward {

/** A prompt part whose requests are refused. */
struct PromptQuarantine
{
    std::string part;
    /** Time at which such requests are accepted again, unless they crash more upstreams until then. */
    TimePoint until;
};

/**
 * Detects queries of death: requests that crash each upstream that runs them, because of a part of their prompt. A crash interrupts all runs of the
 * upstream, so the parts of all of them become suspects. A part is quarantined if upstreams have crashed under it at several different times, no run
 * with it has succeeded lately, and no other quarantined part explains these crashes. Crashes within a moment count once, because one fault can end
 * many upstreams or connections at the same time. Nodes report crashes and successes to each other, so each node needs to see only a part of them.
 * Load pattern: a few requests that take one upstream after the other down, together with all other runs there. Thread-safe; its mutex is a leaf lock.
 */
class QueryOfDeathDetector
{
public:
    explicit QueryOfDeathDetector(const Clock &clock) : clock(clock)
    {
    }

    /** Records that the upstream crashed while it executed a request with the shared parts. Returns true if peers have to learn of it. */
    bool recordCrash(const UpstreamRecord &upstream, std::span<const PromptPart> parts);

    /** Records a successful run of a request with the shared parts. Returns true if peers suspect one of them and have to learn of it. */
    bool recordSuccess(std::span<const PromptPart> parts);

    /** Records what a peer reports. Returns true if it is new and has to be forwarded. */
    bool recordPeerReport(const PromptPartReport &report);

    /** Reports for peers on suspects that have changed within `window`, and on quarantined parts if `includeQuarantined`; the strongest suspicion first. */
    std::vector<PromptPartReport> reports(Duration window, bool includeQuarantined, std::size_t maximumCount) const;

    /** The quarantine that a request with the shared parts falls under, if any. */
    std::optional<PromptQuarantine> findQuarantine(std::span<const PromptPart> parts) const;

private:
    /** Crashes of upstream processes under a part. */
    struct Suspect
    {
        std::uint32_t position = 0;
        /** Time of the crash by the hash of the process. */
        std::map<std::uint64_t, TimePoint> crashes;
        TimePoint lastCrashAt;
        /** Last successful run on any node. */
        std::optional<TimePoint> successAt;
        TimePoint changedAt;
    };
    using Suspects = std::unordered_map<std::uint64_t, Suspect>;

    static std::uint64_t hashProcess(const UpstreamRecord &upstream);

    bool hasSucceededLately(const Suspect &suspect) const;
    std::optional<TimePoint> localSuccess(std::uint64_t part) const;
    /** Finds the suspect, or adds it if it is new. */
    Suspect &suspect(std::uint64_t part, std::uint32_t position);
    void removeWeakestSuspect();
    static bool addCrash(Suspect &suspect, std::uint64_t process, TimePoint crashedAt);
    void markChanged(Suspect &suspect);
    /** Derives the quarantined parts from the suspects, if they have changed or some time has passed. */
    void updateQuarantine() const;
    /** The likeliest cause of the crashes that `explained` doesn't contain; nullptr if no suspect qualifies for a quarantine. */
    const Suspects::value_type *findCulprit(const std::map<std::uint64_t, TimePoint> &explained) const;
    /** Number of different times at which processes crashed under the part since its last successful run, without the processes in `explained`. */
    static std::size_t countMoments(const Suspect &suspect, const std::map<std::uint64_t, TimePoint> &explained);
    static PromptPartReport makeReport(std::uint64_t part, const Suspect &suspect, TimePoint now);

    const Clock &clock;
    mutable std::mutex mutex;
    mutable Suspects suspects;
    /** Times of the last local successes by part. Two generations bound their number: a full one replaces the older one. */
    std::unordered_map<std::uint64_t, TimePoint> recentSuccesses;
    std::unordered_map<std::uint64_t, TimePoint> olderSuccesses;
    /** End of the quarantine by part. */
    mutable std::unordered_map<std::uint64_t, TimePoint> quarantineEnds;
    mutable TimePoint updateDueAt;
};

}
