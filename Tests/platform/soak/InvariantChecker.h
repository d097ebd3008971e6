#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lovageward::Soak {

enum class RequestKind {
    /** Non-idempotent. */
    Booking,
    /** Idempotent. */
    Lookup,
    /** A non-idempotent stream. */
    Plan,
    /** A stream that may be resumed at another upstream. */
    Draft,
    /** Carries an API key that belongs to no team. */
    UnknownKey,
};

/** Result of one request as seen by its caller. */
struct RequestOutcome
{
    std::string request;
    RequestKind kind = RequestKind::Lookup;
    TimePoint sentAt;
    TimePoint endedAt;
    /** HTTP status; 0 if no response head was received. */
    int status = 0;
    bool isComplete = false;
    /** The response states that the request did not run. */
    bool isReportedNotRun = false;
    /** Describes malformed or foreign content in the response; empty if there is none. */
    std::string responseDefect;
};

/**
 * Records what callers, upstreams and the logs of the nodes show, and checks it against the guarantees of the system: responses are complete and belong to
 * their request, a non-idempotent request runs at most once, a request that is reported as not run did not run, planned operations interrupt no request, a
 * draining upstream gets no new requests, an upstream that states a rate limit gets no more, and a node never applies an older configuration after a newer
 * one. Thread-safe; its mutex is a leaf lock.
 */
class InvariantChecker
{
public:
    explicit InvariantChecker(const Clock &clock) : clock(clock)
    {
    }

    /** Records the start of an unplanned fault and returns its number. */
    std::size_t recordFaultStart();
    /** Records the end of a fault. The recovery time after it counts as part of the fault. */
    void recordFaultEnd(std::size_t number);

    void recordRun(const std::string &upstream, const std::string &request);
    /** Records that a run continues at another upstream from its copied memory; this doesn't count as a second run. */
    void recordContinuedRun(const std::string &upstream);
    void recordUpstreamRefusal(const std::string &upstream, const std::string &request);
    /** Records that the upstream has stated a rate limit for the first time. It ends when the upstream starts again. */
    void recordRateLimit(const std::string &upstream, double requestsPerSecond);
    void recordRateLimitEnd(const std::string &upstream);
    void recordOutcome(const RequestOutcome &outcome);
    /** Records that the upstream has started and is cold for coldDuration from now on. */
    void recordColdStart(const std::string &upstream);
    /** Records that the store has acknowledged the drain of the upstream. */
    void recordDrainStart(const std::string &upstream);
    /** Records that the upstream has been removed, after which its id may be used again. */
    void recordDrainEnd(const std::string &upstream);
    /** Records that the process `nodeProcess` of a node has applied a configuration. */
    void recordAppliedConfig(const std::string &nodeProcess, std::uint64_t version);
    /** Records an exceeded time limit. */
    void recordTimingViolation(const std::string &violation);

    struct CheckResult
    {
        /** Violations that don't depend on the speed of the machine. */
        std::vector<std::string> violations;
        /** Exceeded time limits, which a stalled machine can cause as well. */
        std::vector<std::string> timingViolations;
    };

    /** Makes the checks that need the records of the whole run, and returns all violations. */
    CheckResult check();

    std::string summarize() const;

private:
    struct FaultInterval
    {
        TimePoint begin;
        std::optional<TimePoint> end;
    };

    /** Whether neither an unplanned fault nor the recovery from one overlaps the period. */
    bool isWithoutFault(TimePoint from, TimePoint to) const;
    void checkRequestWithoutFault(const RequestOutcome &outcome);
    void checkRetries();
    void checkRateLimits();
    /** Counts a request that has arrived at the upstream, also if it was refused. */
    void countArrival(const std::string &upstream);
    void endRateLimit(const std::string &upstream);
    void addViolation(const std::string &violation);

    const Clock &clock;
    mutable std::mutex mutex;
    std::vector<FaultInterval> faults;
    std::map<std::string, std::vector<std::string>> upstreamsByRequest;
    std::vector<RequestOutcome> outcomes;
    std::map<std::string, TimePoint> drainStartByUpstream;
    struct RunAfterDrain
    {
        std::string upstream;
        TimePoint drainStartedAt;
        TimePoint startedAt;
    };
    std::vector<RunAfterDrain> runsAfterDrain;
    struct ColdPeriod
    {
        std::string upstream;
        TimePoint until;
        std::size_t runs = 0;
    };
    std::vector<ColdPeriod> coldPeriods;
    struct RateLimitPeriod
    {
        std::string upstream;
        double requestsPerSecond = 0;
        TimePoint statedAt;
        bool hasEnded = false;
        std::vector<TimePoint> arrivals;
    };
    std::vector<RateLimitPeriod> rateLimitPeriods;
    std::map<std::string, std::size_t> refusalsByRequest;
    std::size_t continuedRuns = 0;
    std::map<std::string, std::uint64_t> configVersionByProcess;
    std::set<std::string> violations;
    std::set<std::string> timingViolations;
};

/** Rate of requests that all nodes together may send to a cold upstream. */
inline constexpr double coldRequestsPerSecond = 10;
/** Time for which an upstream is cold after its start. */
inline constexpr Duration coldDuration = seconds(3);

std::string_view requestKindName(RequestKind kind);

}
