#include <LibGateway/UpstreamRefusals.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Limits the effect of a wrong value; processes rarely live longer than this. */
constexpr Duration maximumRefusalTime = minutes(10);

}

void UpstreamRefusals::recordRefusal(const UpstreamRecord &upstream, Duration wait)
{
    if (wait <= Duration(0)) {
        return;
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::erase_if(this->refusals, [&](const auto &entry) { return entry.second.until <= now; });
    auto until = now + std::min(wait, maximumRefusalTime);
    auto &refusal = this->refusals[upstream.id];
    // A later refusal with a shorter wait must not end an earlier one.
    refusal.until = refusal.boot == upstream.boot ? std::max(refusal.until, until) : until;
    refusal.boot = upstream.boot;
}

std::optional<TimePoint> UpstreamRefusals::refusedUntil(const UpstreamRecord &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->refusals.find(upstream.id);
    if (found == this->refusals.end() || found->second.boot != upstream.boot || found->second.until <= this->clock.now()) {
        return std::nullopt;
    }
    return found->second.until;
}

}
