#pragma once

#include <LibGateway/WaitingRequests.h>

namespace Lovageward {

/** A signal that makes a descriptor readable, so that a thread can wait for it and for its caller's connection together. */
class DescriptorSignal final : public WaitSignal
{
public:
    /** Throws Error(NoCapacity) with RunState::NotRun if the process has no descriptors left. */
    DescriptorSignal();
    ~DescriptorSignal() override;

    DescriptorSignal(const DescriptorSignal &) = delete;
    DescriptorSignal &operator=(const DescriptorSignal &) = delete;

    void notify() override;

    /** Makes the descriptor unreadable until the next notify(). */
    void clear();

    int descriptor() const
    {
        return this->handle;
    }

private:
    int handle = -1;
};

}
