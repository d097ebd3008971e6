#include <LibGateway/UpstreamRateLimiter.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Share of the rate that is used. The rest is a margin for nodes that aren't counted and for requests that arrive in bursts. */
constexpr double usableRateShare = 0.7;

/** Number of idle nodes that may send in the same moment, on average. One second's worth of the rate is added to it. */
constexpr double usableSlots = 3;

/** Number of entries above which expired ones are removed. Upstreams have a rate for some time only, so most entries have expired by then. */
constexpr std::size_t maximumEntries = 1000;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** Start of the current slot, or of the next one if the current one has lapsed. Slots follow each other at `interval` and lapse after `usableTime`. */
TimePoint skipLapsedSlots(TimePoint startsAt, Duration interval, Duration usableTime, TimePoint now)
{
    auto lapsedTime = now - startsAt - usableTime;
    return lapsedTime <= Duration(0) ? startsAt : startsAt + (lapsedTime + interval - Duration(1)) / interval * interval;
}

}

bool UpstreamRateLimiter::tryAcquire(const UpstreamId &upstream, double requestsPerSecond, std::size_t nodeCount)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    if (this->slots.size() > maximumEntries) {
        std::erase_if(this->slots, [&](const auto &entry) { return entry.second.startsAt < now; });
    }
    auto nodes = static_cast<double>(std::max<std::size_t>(nodeCount, 1));
    auto rate = usableRateShare * requestsPerSecond / nodes;
    if (rate <= 0) {
        return false;
    }
    auto interval = std::max(toDuration(1 / rate), Duration(1));
    auto [entry, isNew] = this->slots.try_emplace(upstream);
    auto &slot = entry->second;
    if (isNew || slot.requestsPerSecond != requestsPerSecond) {
        slot = Slot { now + toDuration(this->random.unit() / rate), requestsPerSecond };
    }
    // Unused slots lapse, or all nodes that were idle could send at the same time when traffic returns.
    auto usableTime = toDuration(std::min(1.0, (usableSlots + requestsPerSecond) / nodes) / rate);
    slot.startsAt = skipLapsedSlots(slot.startsAt, interval, usableTime, now);
    if (now < slot.startsAt) {
        return false;
    }
    slot.startsAt = now + interval;
    return true;
}

TimePoint UpstreamRateLimiter::nextSlotAt(const UpstreamId &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->slots.find(upstream);
    return found == this->slots.end() ? this->clock.now() : found->second.startsAt;
}

}
