#include <LibGateway/StatedRateLimits.h>

#include <LibGateway/PeerDigest.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

/** Time after which a statement that wasn't repeated is removed. The process has probably ended by then. */
constexpr Duration statementRetention = minutes(60);

/** Time for which a change is reported to peers; long enough to make up for lost datagrams. */
constexpr Duration reportingTime = seconds(3);

}

bool StatedRateLimits::recordLimit(const UpstreamRecord &upstream, double requestsPerSecond)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeExpired();
    return this->replace(upstream.id, upstream.boot, roundRateLimit(requestsPerSecond), this->clock.now());
}

bool StatedRateLimits::recordUnlimited(const UpstreamRecord &upstream, TimePoint sentAt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto known = this->statements.find(upstream.id);
    auto isEnd = known != this->statements.end() && known->second.boot == upstream.boot && known->second.requestsPerSecond && sentAt >= known->second.statedAt;
    return isEnd && this->replace(upstream.id, upstream.boot, std::nullopt, this->clock.now());
}

bool StatedRateLimits::recordPeerReport(const UpstreamRateLimitReport &report)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeExpired();
    // With the allowance a delayed report doesn't replace a newer response.
    auto statedAt = this->clock.now() - report.age - hopAgeAllowance;
    auto known = this->statements.find(report.upstream);
    if (known != this->statements.end() && statedAt <= known->second.statedAt) {
        return false;
    }
    return this->replace(report.upstream, report.boot, report.requestsPerSecond, statedAt);
}

bool StatedRateLimits::replace(const UpstreamId &upstream, const BootId &boot, std::optional<double> requestsPerSecond, TimePoint statedAt)
{
    auto [entry, isNew] = this->statements.try_emplace(upstream);
    auto &known = entry->second;
    auto isChanged = isNew || known.boot != boot || known.requestsPerSecond != requestsPerSecond;
    known = Statement { boot, requestsPerSecond, statedAt, isChanged ? this->clock.now() : known.changedAt };
    return isChanged;
}

std::vector<UpstreamRateLimitReport> StatedRateLimits::recentChanges(std::size_t maximumCount) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::vector<std::pair<TimePoint, UpstreamRateLimitReport>> recent;
    for (const auto &[upstream, statement] : this->statements) {
        if (now < statement.changedAt + reportingTime) {
            recent.emplace_back(statement.changedAt,
                                UpstreamRateLimitReport { upstream, statement.boot, statement.requestsPerSecond, now - statement.statedAt });
        }
    }
    std::sort(recent.begin(), recent.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<UpstreamRateLimitReport> reports;
    for (std::size_t position = 0; position < std::min(maximumCount, recent.size()); ++position) {
        reports.push_back(std::move(recent[position].second));
    }
    return reports;
}

std::optional<double> StatedRateLimits::limit(const UpstreamRecord &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto known = this->statements.find(upstream.id);
    if (known == this->statements.end() || known->second.boot != upstream.boot) {
        return std::nullopt;
    }
    return known->second.requestsPerSecond;
}

void StatedRateLimits::removeExpired()
{
    auto now = this->clock.now();
    std::erase_if(this->statements, [&](const auto &entry) { return entry.second.statedAt + statementRetention < now; });
}

}
