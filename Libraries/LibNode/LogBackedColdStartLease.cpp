#include <LibNode/LogBackedColdStartLease.h>

namespace Lovageward {

namespace {

/** Maximum time for which a slow log delays a step of the credit owner. */
constexpr auto acquireTimeout = seconds(2);

}

LogBackedColdStartLease::LogBackedColdStartLease(
    LeaseLog &log, const Clock &clock, RandomSource &random, const LeaseOwner &owner, const LeaseSettings &settings)
    : log(log), clock(clock), random(random), owner(owner), settings(settings)
{
}

bool LogBackedColdStartLease::tryAcquire(const UpstreamId &upstream)
{
    return this->findOrCreateHolder(upstream).acquire(this->clock.now() + acquireTimeout);
}

bool LogBackedColdStartLease::isHeldNow(const UpstreamId &upstream) const
{
    const auto *holder = this->findHolder(upstream);
    return holder != nullptr && holder->isHeldNow();
}

TimePoint LogBackedColdStartLease::heldUntil(const UpstreamId &upstream) const
{
    const auto *holder = this->findHolder(upstream);
    if (holder == nullptr) {
        return TimePoint();
    }
    auto lease = holder->held();
    return lease ? lease->validUntil : TimePoint();
}

LeaseHolder *LogBackedColdStartLease::findHolder(const UpstreamId &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->holders.find(upstream);
    return found == this->holders.end() ? nullptr : found->second.get();
}

LeaseHolder &LogBackedColdStartLease::findOrCreateHolder(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &slot = this->holders[upstream];
    if (!slot) {
        LeaseName name("cold/" + upstream.value());
        slot = std::make_unique<LeaseHolder>(this->log, this->clock, this->random, name, this->owner, this->settings);
    }
    return *slot;
}

}
