#pragma once

#include <LibGateway/WaitingRequests.h>
#include <LibHttp/EventDescriptor.h>

namespace Lovageward {

/** A signal that makes a descriptor readable, so that a thread can wait for it and for its caller's connection together. */
class DescriptorSignal final : public WaitSignal
{
public:
    void notify() override
    {
        this->event.notify();
    }

    /** Makes the descriptor unreadable until the next notify(). */
    void clear()
    {
        this->event.clear();
    }

    int descriptor() const
    {
        return this->event.descriptor();
    }

private:
    EventDescriptor event;
};

}
