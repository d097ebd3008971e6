#pragma once

#include <LibCore/Ids.h>
#include <LibCore/RandomSource.h>
#include <LibCore/Time.h>
#include <LibPolicy/UpstreamState.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Lovageward {

/** Identifies a credit. Random, so that a new owner can't confuse a credit of its predecessor with one of its own. */
using CreditId = NumberId<struct CreditIdTag>;

struct CreditOptions
{
    /** Time after the grant within which a credit must be used. */
    Duration lifetime = seconds(2);
    /**
     * Maximum time from the use of a credit until a load report shows the work: the network delay of the request to the
     * upstream plus the lag of the report beyond its stated age.
     */
    Duration reportLag = seconds(1);
    /** Maximum age of a load report. Nodes whose last report shows a warm upstream send it work without credits until that report is older. */
    Duration maximumReportAge = seconds(5);
    /** Time after the grant for which the end of the work is still matched to its credit. */
    Duration workRetention = minutes(10);
    /** Used KV blocks, in percent of all blocks, above which the limit doesn't grow, because the engine is about to preempt requests. */
    std::uint64_t maximumBlockPercentForGrowth = 90;
};

/**
 * Keeps the credits that the owner of a cold upstream has granted. A pure state machine: the caller passes the time and
 * serialises the calls.
 *
 * Used slots = running and waiting requests of the last load report + credits that this report doesn't reflect yet. A credit
 * leaves that sum when its work is reported as ended, when it is returned unused, or when a load report arrives that was
 * measured `reportLag` or more after the credit's latest possible use: that report either shows the work, or the work has
 * ended. Credits are granted only while used slots < limit, so work of any origin in the load report reduces what is granted.
 *
 * The limit doubles as the upstream completes work, but unreflected credits never exceed the limit that the upstream itself
 * reports: if the upstream restarts unnoticed, only work with such credits can reach the new process.
 */
class CreditLedger
{
public:
    explicit CreditLedger(const CreditOptions &options);

    /** Call this when the lease is new or had lapsed. Grants nothing until the predecessor's credits have expired and a load report shows their work. */
    void takeOver(TimePoint now);

    /** Applies a load report that this node has polled itself. */
    void applyReport(const LoadReport &report, TimePoint now);

    /** Call this when the upstream didn't answer a poll. It counts as cold, and no credits are granted until the next load report. */
    void markUnreachable(TimePoint now);

    /** Call this when this node no longer polls the upstream. No credits are granted, and the next load report counts as the first one. */
    void discardReport();

    /** Grants up to `count` credits to a host; none whose lifetime would exceed `leaseUntil`. */
    std::vector<CreditId> grant(const HostId &holder, std::uint32_t count, TimePoint now, TimePoint leaseUntil, RandomSource &random);

    /**
     * Records that the host has started work with the credits. This function and the two below ignore unknown credits, so
     * messages may be repeated.
     */
    void markStarted(const HostId &holder, const std::vector<CreditId> &credits, TimePoint now);

    /** Records that the work placed with the credits has ended. */
    void markEnded(const HostId &holder, const std::vector<CreditId> &credits);

    /** Removes credits that the host will not use. */
    void returnUnused(const HostId &holder, const std::vector<CreditId> &credits);

    /** True if a load report within the maximum age shows the upstream as cold. */
    bool isKnownCold(TimePoint now) const;

    /** Maximum number of concurrent requests on the upstream. */
    std::uint32_t limit() const
    {
        return this->currentLimit;
    }

    /** Number of requests and unreflected credits that count against the limit. */
    std::uint64_t usedSlots() const;

    /** Number of credits whose work the last load report may not show yet. */
    std::uint64_t unreflectedCredits() const;

private:
    struct Credit
    {
        HostId holder;
        /** Number of the cold start for which the credit was granted. */
        std::uint64_t coldStartNumber = 0;
        /** Latest time at which the credit may have been used. */
        TimePoint latestUse;
        TimePoint retainedUntil;
        /** True once a load report must show the credit's work, unless the work has ended. */
        bool isReflected = false;
    };

    bool canGrant(TimePoint now, TimePoint leaseUntil) const;
    void enterColdPhase(TimePoint now);
    void updateLimit(const LoadReport &report);
    void markReflectedCredits(const LoadReport &report, TimePoint now);
    void countCompletion();
    Credit *findCredit(const HostId &holder, CreditId id);

    CreditOptions options;
    std::map<CreditId, Credit> credits;
    LoadReport report;
    bool hasReport = false;
    bool isCold = false;
    /** Credits are granted only on the basis of a load report that was measured at this time or later. */
    TimePoint grantsBlockedUntil;
    /** Limit in the last load report that showed the upstream as cold. */
    std::uint32_t reportedLimit = 0;
    std::uint32_t currentLimit = 0;
    /** Completed requests that count towards the next doubling of the limit. */
    std::uint32_t completions = 0;
    /** True if the last load report shows a load under which the limit must not grow. */
    bool isGrowthPaused = false;
    /** Number of detected cold starts. Late usage reports for an earlier one don't raise the limit. */
    std::uint64_t coldStartNumber = 0;
};

}
