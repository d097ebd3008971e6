#include <LibRelay/AbandonedStreams.h>

#include <algorithm>

namespace Lovageward {

AbandonedStreams::AbandonedStreams(const AbandonedStreamLimits &limits) : limits(limits)
{
}

void AbandonedStreams::abandon(const GenerationTarget &target, TimePoint now)
{
    if (this->takenOver.contains(target.generation) || this->earlierRelays.erase(target.generation) > 0) {
        return;
    }
    // Beyond the limit new generations are cancelled at once: their callers can't resume, but memory stays bounded.
    auto isFull = this->abandoned.size() >= this->limits.maximumAbandoned;
    auto cancelAt = isFull ? now : now + this->limits.resumeTime;
    this->abandoned.insert_or_assign(target.generation, AbandonedStream { target, cancelAt });
}

std::optional<HostId> AbandonedStreams::takeOver(const GenerationId &generation, const HostId &byHost, TimePoint now)
{
    this->removeExpired(now);
    this->abandoned.erase(generation);
    std::optional<HostId> previous;
    auto found = this->takenOver.find(generation);
    if (found != this->takenOver.end()) {
        previous = found->second.byHost;
    }
    this->takenOver.insert_or_assign(generation, TakenOver { byHost, now + this->limits.takeOverRetention });
    return previous == byHost ? std::nullopt : previous;
}

void AbandonedStreams::resumeLocally(const GenerationId &generation, bool isOwn, TimePoint now)
{
    this->removeExpired(now);
    auto wasKept = this->abandoned.erase(generation) > 0;
    auto wasTakenOver = this->takenOver.erase(generation) > 0;
    if (isOwn && !wasKept && !wasTakenOver) {
        this->earlierRelays.insert_or_assign(generation, now + this->limits.takeOverRetention);
    }
}

std::vector<GenerationTarget> AbandonedStreams::takeDue(TimePoint now)
{
    std::vector<GenerationTarget> due;
    std::erase_if(this->abandoned, [&](const auto &entry) {
        if (entry.second.cancelAt > now) {
            return false;
        }
        due.push_back(entry.second.target);
        return true;
    });
    return due;
}

std::size_t AbandonedStreams::size() const
{
    return this->abandoned.size();
}

void AbandonedStreams::removeExpired(TimePoint now)
{
    std::erase_if(this->takenOver, [&](const auto &entry) { return entry.second.expiresAt <= now; });
    std::erase_if(this->earlierRelays, [&](const auto &entry) { return entry.second <= now; });
    if (this->takenOver.size() < this->limits.maximumTakeOvers) {
        return;
    }
    auto isEarlier = [](const auto &left, const auto &right) { return left.second.expiresAt < right.second.expiresAt; };
    this->takenOver.erase(std::min_element(this->takenOver.begin(), this->takenOver.end(), isEarlier));
}

}
