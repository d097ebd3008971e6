#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Lovageward {

/** Hash of a text; the same on every node and in every version of the program. */
std::uint64_t hashText(std::string_view text);

/** Weight of a pair for rendezvous hashing. */
std::uint64_t hashPair(std::uint64_t left, std::uint64_t right);

/** Jump consistent hash: a position below `size` that changes for only 1/size of the keys when the size grows by one. */
std::size_t jumpHash(std::uint64_t key, std::size_t size);

}
