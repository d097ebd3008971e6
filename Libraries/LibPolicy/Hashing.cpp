#include <LibPolicy/Hashing.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Lovageward {

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t hashPair(std::uint64_t left, std::uint64_t right)
{
    return XXH3_64bits_withSeed(&left, sizeof(left), right);
}

std::size_t jumpHash(std::uint64_t key, std::size_t size)
{
    // Algorithm and constants: Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm".
    std::int64_t bucket = -1;
    std::int64_t next = 0;
    while (next < static_cast<std::int64_t>(size)) {
        bucket = next;
        key = key * 2862933555777941757ULL + 1;
        auto divisor = static_cast<double>((key >> 33U) + 1);
        next = static_cast<std::int64_t>(static_cast<double>(bucket + 1) * (static_cast<double>(1LL << 31U) / divisor));
    }
    return static_cast<std::size_t>(bucket);
}

}
