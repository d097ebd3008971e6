#include <LibGateway/StatedRateLimits.h>

namespace Lovageward {

namespace {

/** Time after which a limit that wasn't stated again is removed. The process has probably ended by then. */
constexpr Duration limitRetention = minutes(60);

}

bool StatedRateLimits::recordLimit(const UpstreamRecord &upstream, double requestsPerSecond)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeExpired();
    auto [entry, isNew] = this->limits.try_emplace(upstream.id);
    auto &known = entry->second;
    auto isChanged = isNew || known.boot != upstream.boot || known.requestsPerSecond != requestsPerSecond;
    known = StatedLimit { upstream.boot, requestsPerSecond, this->clock.now() };
    return isChanged;
}

bool StatedRateLimits::recordUnlimited(const UpstreamRecord &upstream, TimePoint sentAt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto known = this->limits.find(upstream.id);
    if (known == this->limits.end() || known->second.boot != upstream.boot || sentAt < known->second.statedAt) {
        return false;
    }
    this->limits.erase(known);
    return true;
}

std::optional<double> StatedRateLimits::limit(const UpstreamRecord &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto known = this->limits.find(upstream.id);
    if (known == this->limits.end() || known->second.boot != upstream.boot) {
        return std::nullopt;
    }
    return known->second.requestsPerSecond;
}

void StatedRateLimits::removeExpired()
{
    auto now = this->clock.now();
    std::erase_if(this->limits, [&](const auto &entry) { return entry.second.statedAt + limitRetention < now; });
}

}
