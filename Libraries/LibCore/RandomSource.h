#pragma once

#include <cstdint>
#include <string>

namespace Lovageward {

/** Source of random numbers. Implementations are safe to call from several threads. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** Uniform over all 64 bit values. */
    virtual std::uint64_t next() = 0;

    /** Uniform in [0, bound); bound must be greater than 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        return this->next() % bound;
    }

    /** Uniform in [0, 1). */
    double unit();

    /** 128 random bits as 32 lower-case hexadecimal digits. */
    std::string hexId();
};

}
