#include <LibGateway/StoreEraTracker.h>

namespace Lovageward {

void StoreEraTracker::record(StoreEra era)
{
    std::vector<StoreEraListener *> notified;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        if (era <= this->highest) {
            return;
        }
        this->highest = era;
        notified = this->listeners;
    }
    for (auto *listener : notified) {
        listener->onStoreEra(era);
    }
}

StoreEra StoreEraTracker::current() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->highest;
}

void StoreEraTracker::addListener(StoreEraListener &listener)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->listeners.push_back(&listener);
}

}
