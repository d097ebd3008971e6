#include <LibGateway/UpstreamHealth.h>

#include <cmath>

namespace Lovageward {

namespace {

/** Half-life of recorded results. After a few half-lives an upstream that has recovered gets its full share of requests again. */
constexpr Duration halfLife = seconds(2);

/** Successes that are added to each score, so that a single failure doesn't result in a high failure rate. */
constexpr double priorSuccesses = 2;

}

void UpstreamHealth::recordSuccess(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->scores.find(upstream);
    if (found == this->scores.end()) {
        return;
    }
    found->second = this->decayed(found->second);
    found->second.total += 1;
    constexpr double negligible = 0.01;
    if (found->second.failures < negligible) {
        this->scores.erase(found);
    }
}

void UpstreamHealth::recordFailure(const UpstreamId &upstream, double weight)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &score = this->scores[upstream];
    score = this->decayed(score);
    score.failures += weight;
    score.total += weight;
}

double UpstreamHealth::failureRate(const UpstreamId &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->scores.find(upstream);
    if (found == this->scores.end()) {
        return 0;
    }
    auto score = this->decayed(found->second);
    return score.failures / (score.total + priorSuccesses);
}

UpstreamHealth::Score UpstreamHealth::decayed(const Score &score) const
{
    auto now = this->clock.now();
    auto halvings = std::chrono::duration<double>(now - score.updatedAt) / std::chrono::duration<double>(halfLife);
    auto factor = std::exp2(-halvings);
    return Score { score.failures * factor, score.total * factor, now };
}

}
