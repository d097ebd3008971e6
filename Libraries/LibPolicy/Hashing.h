#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Lovageward {

/** Stable hash of a text: equal on every node and in every version of the program. */
std::uint64_t hashText(std::string_view text);

/** Weight of the pair (`left`, `right`) in rendezvous hashing. */
std::uint64_t hashPair(std::uint64_t left, std::uint64_t right);

/** Jump consistent hash: maps `key` to a position below `size`. If `size` grows by one to n, only 1/n of the keys are remapped. */
std::size_t jumpHash(std::uint64_t key, std::size_t size);

}
