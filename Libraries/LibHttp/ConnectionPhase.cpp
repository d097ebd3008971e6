#include <LibHttp/ConnectionPhase.h>

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

void ConnectionPhase::beginSending()
{
    this->change(Phase::Serving, Phase::Sending);
}

bool ConnectionPhase::endServing()
{
    return this->change(Phase::Serving, Phase::Idle) || this->change(Phase::Sending, Phase::Idle);
}

bool ConnectionPhase::release(ClientWait wait)
{
    switch (wait) {
    case ClientWait::Idle:
        return this->change(Phase::Idle, Phase::Released);
    case ClientWait::Receiving:
        return this->change(Phase::Receiving, Phase::Released);
    case ClientWait::Sending:
        return this->change(Phase::Sending, Phase::Released);
    }
    return false;
}

}
