#include <LibCore/RandomSource.h>

#include <fmt/format.h>

namespace Lovageward {

double RandomSource::unit()
{
    // A double has 53 bits of precision.
    constexpr int unusedBits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(this->next() >> unusedBits) * scale;
}

std::string RandomSource::hexId()
{
    auto high = this->next();
    auto low = this->next();
    return fmt::format("{:016x}{:016x}", high, low);
}

}
