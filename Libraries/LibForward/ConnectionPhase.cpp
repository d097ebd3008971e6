#include <LibForward/ConnectionPhase.h>

namespace Lovageward {

bool ConnectionPhase::change(Phase from, Phase to)
{
    return this->phase.compare_exchange_strong(from, to);
}

bool ConnectionPhase::beginReceiving()
{
    return this->change(Phase::Idle, Phase::Receiving);
}

bool ConnectionPhase::beginServing()
{
    return this->change(Phase::Receiving, Phase::Serving);
}

void ConnectionPhase::endServing()
{
    this->change(Phase::Serving, Phase::Idle);
}

bool ConnectionPhase::release(ClientWait wait)
{
    return this->change(wait == ClientWait::Idle ? Phase::Idle : Phase::Receiving, Phase::Released);
}

}
