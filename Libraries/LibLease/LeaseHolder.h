#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibLease/LeaseLog.h>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>

namespace Lovageward {

struct LeaseSettings
{
    /** At most maximumLeaseTerm. */
    Duration term = seconds(15);
    /** Covers the difference in rate between the clocks of the log and of the node over one term. */
    Duration margin = seconds(1);
};

/** A lease as its holder sees it at one moment. */
struct HeldLease
{
    FencingNumber fencingNumber;
    /** The lease must not be used at or after this time. */
    TimePoint validUntil;
    /** Time by which the lease of the last other holder had certainly expired; empty if there was none lately. */
    std::optional<TimePoint> predecessorEndedBy;
};

/**
 * Acquires and renews one lease for this process. The lease counts as held only until the time at which the append was
 * sent plus the term minus the margin, so a process that was paused finds it expired.
 * Thread-safe: any thread may ask whether it is held; if two threads call acquire() or release(), one returns at once.
 */
class LeaseHolder
{
public:
    /** Throws Error(InvalidSettings) if the term is too long or not longer than the margin. */
    LeaseHolder(LeaseLog &log, const Clock &clock, RandomSource &random, const LeaseName &name, const LeaseOwner &owner, const LeaseSettings &settings);

    /**
     * Acquires the lease, or renews it once a third of the term has passed; returns isHeldNow(). Call it once a second or so
     * while the lease is wanted. Doesn't throw: while the log is down the lease is kept until it runs out.
     */
    bool acquire(TimePoint deadline);

    /** Stops using the lease at once and gives it back, so that another node needn't wait for the expiry. */
    void release(TimePoint deadline);

    bool isHeldNow() const;

    /** The lease if it is held now. Ask right before each use. */
    std::optional<HeldLease> held() const;

    /** Holder as of the last read of the stream, this process or another; empty if the lease is free. */
    std::optional<LeaseOwner> currentOwner() const;

private:
    /** An append that was sent; its outcome may be unknown until its record is read. */
    struct Attempt
    {
        TimePoint sentAt;
        Duration term;
    };

    void acquireOnce(TimePoint deadline);
    void appendRecord(const std::optional<Lease> &current, Duration term, TimePoint deadline);
    void adopt(const std::optional<Lease> &current);
    bool needsAppend(const std::optional<Lease> &current) const;

    LeaseLog &log;
    const Clock &clock;
    RandomSource &random;
    LeaseName name;
    LeaseOwner owner;
    LeaseSettings settings;
    std::atomic<bool> isBusy = false;
    mutable std::mutex mutex;
    HeldLease view;
    /** False after release(), so that an acquire() that runs at the same time doesn't bring the lease back. */
    bool isWanted = false;
    TimePoint renewAt;
    std::optional<LogTime> predecessorExpiry;
    std::map<RecordId, Attempt> attempts;
};

}
