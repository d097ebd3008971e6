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
    /** May run once. */
    Booking,
    /** May run again. */
    Lookup,
    /** A stream that may run once. */
    Plan,
    /** A stream that another upstream may resume. */
    Draft,
    /** Bears a key that no team has. */
    Unknown,
};

/** What a caller saw of one request. */
struct Outcome
{
    std::string request;
    RequestKind kind = RequestKind::Lookup;
    TimePoint sentAt;
    TimePoint endedAt;
    /** 0 if no head arrived. */
    int status = 0;
    bool isWhole = false;
    /** The answer says that the request has not run. */
    bool saysNotRun = false;
    /** What was wrong with the bytes of the answer, or empty. */
    std::string defect;
};

/**
 * What callers, upstreams and logs showed, held against the promises: answers are whole and of their own request, work that may run once runs once,
 * refusals are true, planned work cuts nothing, drains end new work, configuration never goes back. Thread-safe; its mutex is a leaf lock.
 */
class Ledger
{
public:
    explicit Ledger(const Clock &clock) : clock(clock)
    {
    }

    /** An unplanned fault begins; returns its number. */
    std::size_t faultBegins();
    /** Its effects last for the recovery time longer. */
    void faultEnds(std::size_t number);

    void runStarted(const std::string &upstream, const std::string &request);
    /** A run goes on from its memory at another upstream; it is the same run. */
    void runContinued();
    void refusedByUpstream(const std::string &request);
    void answered(const Outcome &outcome);
    /** The upstream is cold for coldTime from now on. */
    void coldBegins(const std::string &upstream);
    /** The record of the drain was acknowledged by the store. */
    void drained(const std::string &upstream);
    /** The upstream was taken out, and its name may be used again. */
    void drainEnded(const std::string &upstream);
    /** The process `life` of a node has put a configuration in force. */
    void configInForce(const std::string &life, std::uint64_t version);
    /** A bound on time was exceeded. */
    void reportLate(const std::string &violation);

    struct Verdict
    {
        /** Broken whatever the speed of the machine. */
        std::vector<std::string> broken;
        /** Broken by bounds on time, which a machine that stalls can exceed as well. */
        std::vector<std::string> late;
    };

    /** Checks that need the whole run. */
    Verdict finish();

    std::string summary() const;

private:
    struct Interval
    {
        TimePoint begin;
        std::optional<TimePoint> end;
    };

    /** Whether no unplanned fault, nor its recovery, overlaps the time. */
    bool isCalm(TimePoint from, TimePoint to) const;
    void checkPlannedWork(const Outcome &outcome);
    void checkRepeats();
    void add(const std::string &violation);

    const Clock &clock;
    mutable std::mutex mutex;
    std::vector<Interval> faults;
    std::map<std::string, std::vector<std::string>> runsOf;
    std::vector<Outcome> outcomes;
    std::map<std::string, TimePoint> drainedAt;
    struct LateRun
    {
        std::string upstream;
        TimePoint drainedAt;
        TimePoint at;
    };
    std::vector<LateRun> lateRuns;
    struct Cold
    {
        std::string upstream;
        TimePoint until;
        std::size_t runs = 0;
    };
    std::vector<Cold> colds;
    std::map<std::string, std::size_t> refusals;
    std::size_t continuations = 0;
    std::map<std::string, std::uint64_t> versions;
    std::set<std::string> violations;
    std::set<std::string> lateViolations;
};

/** Requests that all nodes together may send to a cold upstream, and for how long it is cold. */
inline constexpr double coldRequestsPerSecond = 10;
inline constexpr Duration coldTime = seconds(3);

std::string_view kindName(RequestKind kind);

}
