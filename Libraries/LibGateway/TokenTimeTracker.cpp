#include <LibGateway/TokenTimeTracker.h>

#include <LibGateway/LoadTracker.h>

namespace Lovageward {

namespace {

/**
 * Smoothing factors for measurements below and above the estimate. An engine that prefills a prompt during an output appears slow for a while, so the
 * estimate increases slowly.
 */
constexpr double decreaseFactor = 0.15;
constexpr double increaseFactor = 0.05;

/** Time after which an estimate without new measurements expires. */
constexpr Duration estimateLifetime = seconds(30);

/** Number of entries from which on expired ones are removed. Engines are replaced continually, so entries of old ones would accumulate. */
constexpr std::size_t cleanupThreshold = 1024;

}

void TokenTimeTracker::recordSample(const UpstreamId &engine, Duration tokenTime)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeExpired(this->localEstimates);
    auto hash = LoadTracker::hashUpstreamId(engine);
    auto estimate = this->findFresh(this->localEstimates, hash).tokenTime;
    if (estimate > Duration(0)) {
        auto factor = tokenTime < estimate ? decreaseFactor : increaseFactor;
        estimate += std::chrono::duration_cast<Duration>((tokenTime - estimate) * factor);
    } else {
        estimate = tokenTime;
    }
    this->localEstimates[hash] = Estimate { estimate, this->clock.now() };
}

void TokenTimeTracker::recordPeerEstimate(std::uint64_t engineHash, Duration tokenTime)
{
    if (tokenTime <= Duration(0)) {
        return;
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeExpired(this->peerEstimates);
    this->peerEstimates[engineHash] = Estimate { tokenTime, this->clock.now() };
}

Duration TokenTimeTracker::tokenTime(const UpstreamId &engine) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto hash = LoadTracker::hashUpstreamId(engine);
    auto local = this->findFresh(this->localEstimates, hash);
    auto reported = this->findFresh(this->peerEstimates, hash);
    auto isLocalNewer = reported.tokenTime == Duration(0) || (local.tokenTime > Duration(0) && local.updatedAt >= reported.updatedAt);
    return isLocalNewer ? local.tokenTime : reported.tokenTime;
}

Duration TokenTimeTracker::localTokenTime(std::uint64_t engineHash) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->findFresh(this->localEstimates, engineHash).tokenTime;
}

TokenTimeTracker::Estimate TokenTimeTracker::findFresh(const Estimates &estimates, std::uint64_t engineHash) const
{
    auto found = estimates.find(engineHash);
    auto isKnown = found != estimates.end() && this->clock.now() - found->second.updatedAt <= estimateLifetime;
    return isKnown ? found->second : Estimate();
}

void TokenTimeTracker::removeExpired(Estimates &estimates) const
{
    if (estimates.size() < cleanupThreshold) {
        return;
    }
    auto now = this->clock.now();
    std::erase_if(estimates, [&](const auto &entry) { return now - entry.second.updatedAt > estimateLifetime; });
}

}
