#include <LibHttp/EventDescriptor.h>

#include <LibCore/Error.h>

#include <sys/eventfd.h>
#include <unistd.h>

namespace Lovageward {

namespace {

/** Retry-After if this node has no descriptors left; the retry reaches another node. */
constexpr Duration descriptorRetryAfter = milliseconds(200);

}

EventDescriptor::EventDescriptor() : handle(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->handle < 0) {
        throw Error(ResultCode::NoCapacity, RunState::NotRun, "the process has no file descriptors left", descriptorRetryAfter);
    }
}

EventDescriptor::~EventDescriptor()
{
    ::close(this->handle);
}

void EventDescriptor::notify()
{
    // Fails only if the counter overflows, and the descriptor is readable then.
    static_cast<void>(::eventfd_write(this->handle, 1));
}

void EventDescriptor::clear()
{
    eventfd_t value = 0;
    static_cast<void>(::eventfd_read(this->handle, &value));
}

}
