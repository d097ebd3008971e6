#pragma once

#include <LibCredits/ColdStartLease.h>
#include <LibLease/LeaseHolder.h>

#include <map>
#include <memory>
#include <mutex>

namespace Lovageward {

/**
 * ColdStartLease whose leases `cold/<upstream>` are stored in the log. Thread-safe; the mutex guards the map of holders, which are never
 * removed, and is not held during I/O.
 */
class LogBackedColdStartLease final : public ColdStartLease
{
public:
    LogBackedColdStartLease(LeaseLog &log, const Clock &clock, RandomSource &random, const LeaseOwner &owner, const LeaseSettings &settings);

    bool tryAcquire(const UpstreamId &upstream) override;
    bool isHeldNow(const UpstreamId &upstream) const override;
    TimePoint heldUntil(const UpstreamId &upstream) const override;

private:
    LeaseHolder *findHolder(const UpstreamId &upstream) const;
    LeaseHolder &findOrCreateHolder(const UpstreamId &upstream);

    LeaseLog &log;
    const Clock &clock;
    RandomSource &random;
    LeaseOwner owner;
    LeaseSettings settings;
    mutable std::mutex mutex;
    std::map<UpstreamId, std::unique_ptr<LeaseHolder>> holders;
};

}
