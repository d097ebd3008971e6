#include <LibGateway/TeamShares.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

/** Time constant over which received capacity is forgotten; as long as the longest bursts. */
constexpr Duration usageTimeConstant = seconds(10);

/** Usage is decayed in steps of this length. */
constexpr Duration decayInterval = milliseconds(250);

/** Highest level: a team with 16 times its share ranks like one with more. */
constexpr int highestLevel = 3;

/** A team with less than this part of the total is forgotten and doesn't count as active. */
constexpr double negligibleShare = 0.0005;

double decayFactor(Duration elapsed)
{
    return std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(usageTimeConstant));
}

}

void TeamShares::add(const TeamId &team, double capacity, TimePoint now)
{
    this->decay(now);
    this->usages[team] += capacity;
    this->total += capacity;
}

void TeamShares::decay(TimePoint now)
{
    if (now - this->decayedAt < decayInterval) {
        return;
    }
    auto factor = decayFactor(now - this->decayedAt);
    this->decayedAt = now;
    auto negligible = this->total * factor * negligibleShare;
    this->total = 0;
    for (auto &[team, usage] : this->usages) {
        usage *= factor;
        this->total += usage;
    }
    std::erase_if(this->usages, [&](const auto &entry) { return entry.second <= negligible; });
}

int TeamShares::excessLevel(const TeamId &team, TimePoint now) const
{
    auto found = this->usages.find(team);
    if (found == this->usages.end() || this->total <= 0 || now - this->decayedAt > usageTimeConstant) {
        return 0;
    }
    auto shares = found->second / this->total * static_cast<double>(this->usages.size());
    return std::clamp(static_cast<int>(std::floor(std::log2(std::max(shares, 1.0)))), 0, highestLevel);
}

}
