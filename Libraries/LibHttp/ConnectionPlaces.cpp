#include <LibHttp/ConnectionPlaces.h>

#include <LibHttp/Listener.h>

#include <algorithm>

namespace Lovageward {

ConnectionPlaces::ConnectionPlaces(MemoryAccount &memory, ListenerId listener, std::size_t maximumConnections, PlaceObserver &observer)
    : memory(memory)
    , listenerId(listener)
    , maximumConnections(maximumConnections)
    , maximumAccepted(maximumConnections + ConnectionPlaces::queuedConnections(maximumConnections))
    , observer(observer)
{
}

std::size_t ConnectionPlaces::queuedConnections(std::size_t maximumConnections)
{
    constexpr std::size_t divisor = 4;
    constexpr std::size_t minimum = 16;
    constexpr std::size_t maximum = 1024;
    return std::clamp(maximumConnections / divisor, minimum, maximum);
}

bool ConnectionPlaces::tryAdd()
{
    // Only the accepting thread increments the count.
    if (this->acceptedConnections >= this->maximumConnections) {
        this->makePlace();
    }
    if (this->acceptedConnections >= this->maximumAccepted) {
        this->observer.connectionRefused(this->acceptedConnections);
        return false;
    }
    ++this->acceptedConnections;
    this->memory.chargeShared(MemoryPurpose::ReceiveBuffer, defaultUnreadBytes);
    return true;
}

void ConnectionPlaces::remove()
{
    this->memory.releaseShared(MemoryPurpose::ReceiveBuffer, defaultUnreadBytes);
    --this->acceptedConnections;
}

void ConnectionPlaces::makePlaceForWaiting()
{
    if (this->hasWaitingConnections()) {
        this->makePlace();
    }
}

void ConnectionPlaces::makePlace()
{
    auto released = this->memory.makePlace(this->listenerId);
    if (released) {
        this->observer.connectionReleased(*released, this->acceptedConnections);
    }
}

}
