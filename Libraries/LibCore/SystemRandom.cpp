#include <LibCore/SystemRandom.h>

#include <LibCore/Error.h>

#include <sys/random.h>

namespace Lovageward {

std::uint64_t SystemRandom::next()
{
    std::uint64_t value = 0;
    if (getrandom(&value, sizeof(value), 0) != static_cast<ssize_t>(sizeof(value))) {
        throw Error(ResultCode::Internal, RunState::NotRun, "the kernel returned no random bytes");
    }
    return value;
}

}
