#include <LibConfig/CheckpointRule.h>

namespace Lovageward {

namespace {

// At 4,500 changes a day the first node writes 22 checkpoints a day, and a starting node replays at most 400 changes.
constexpr std::size_t firstNodeChanges = 200;
constexpr std::size_t otherNodeChanges = 400;

}

bool CheckpointRule::isDue(const CheckpointAge &age, LogTime now, bool ranksFirst) const
{
    auto oldest = age.oldestNeeded();
    if (!oldest) {
        return false;
    }
    auto longestWait = ranksFirst ? this->retention / 2 : this->retention * 3 / 4;
    auto mostChanges = ranksFirst ? firstNodeChanges : otherNodeChanges;
    return age.changeCount() >= mostChanges || now - *oldest >= longestWait;
}

}
