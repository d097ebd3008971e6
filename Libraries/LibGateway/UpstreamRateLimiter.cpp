#include <LibGateway/UpstreamRateLimiter.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Share of the rate that is used. The rest is a margin for nodes that aren't counted and for requests that arrive in bursts. */
constexpr double usableRateShare = 0.7;

/** Number of entries above which expired ones are removed. Upstreams have a rate for some time only, so most entries have expired by then. */
constexpr std::size_t maximumEntries = 1000;

}

bool UpstreamRateLimiter::tryAcquire(const UpstreamId &upstream, double requestsPerSecond, std::size_t nodeCount)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    if (this->slots.size() > maximumEntries) {
        std::erase_if(this->slots, [&](const auto &entry) { return entry.second.startsAt < now; });
    }
    auto rate = usableRateShare * requestsPerSecond / static_cast<double>(std::max<std::size_t>(nodeCount, 1));
    if (rate <= 0) {
        return false;
    }
    auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
    auto [entry, isNew] = this->slots.try_emplace(upstream);
    auto &slot = entry->second;
    if (isNew || slot.requestsPerSecond != requestsPerSecond) {
        auto offset = std::chrono::duration_cast<Duration>(interval * this->random.unit());
        slot = Slot { now + offset, requestsPerSecond };
    }
    if (now < slot.startsAt) {
        return false;
    }
    slot.startsAt = now + interval;
    return true;
}

}
