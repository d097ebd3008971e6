#pragma once

#include <LibCore/RandomSource.h>

namespace Lovageward {

/** Unpredictable random numbers from the kernel; for ids and keys. */
class SystemRandom final : public RandomSource
{
public:
    /** Throws Error(Internal) if the kernel gives no random bytes. */
    std::uint64_t next() override;
};

}
