#include <LibDispatch/TeamLimiter.h>

namespace Lovageward {

bool TeamLimiter::tryAcquire(const TeamId &team, std::uint32_t maximum)
{
    if (this->requestCount(team) >= maximum) {
        return false;
    }
    ++this->counts[team];
    return true;
}

void TeamLimiter::release(const TeamId &team)
{
    auto found = this->counts.find(team);
    if (found == this->counts.end()) {
        return;
    }
    --found->second;
    if (found->second == 0) {
        this->counts.erase(found);
    }
}

std::uint32_t TeamLimiter::requestCount(const TeamId &team) const
{
    auto found = this->counts.find(team);
    return found == this->counts.end() ? 0 : found->second;
}

}
