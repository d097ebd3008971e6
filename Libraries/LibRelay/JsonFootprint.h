#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Lovageward {

/** What a JSON text takes up once it is parsed. */
struct JsonFootprint
{
    /** Values of the text, names of members included. */
    std::size_t values = 0;
    /** Bytes of the parsed form at the most. */
    std::uint64_t bytes = 0;
};

/**
 * Estimates the parsed form of a text without parsing it. It is made for bodies of legal size with very many small values, each of which takes up a hundred
 * times its length once it is parsed. Also for texts that aren't JSON.
 */
JsonFootprint measureJson(std::string_view text);

}
