#include <LibDispatch/TeamLimiter.h>

namespace Lovageward {

bool TeamLimiter::tryEnter(const TeamId &team, std::uint32_t maximum)
{
    if (this->inUse(team) >= maximum) {
        return false;
    }
    ++this->counts[team];
    return true;
}

void TeamLimiter::leave(const TeamId &team)
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

std::uint32_t TeamLimiter::inUse(const TeamId &team) const
{
    auto found = this->counts.find(team);
    return found == this->counts.end() ? 0 : found->second;
}

}
