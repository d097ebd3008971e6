#pragma once

namespace Lovageward {

/** A descriptor that other threads make readable, so that a thread can wait for them and for sockets together. */
class EventDescriptor
{
public:
    /** Throws Error(NoCapacity) with RunState::NotRun if the process has no descriptors left. */
    EventDescriptor();
    ~EventDescriptor();

    EventDescriptor(const EventDescriptor &) = delete;
    EventDescriptor &operator=(const EventDescriptor &) = delete;

    /** Makes the descriptor readable. Doesn't block. */
    void notify();

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
