#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Lovageward {

/** Computes the prefix hash and the token estimate of a prompt. */
class PromptSummary
{
public:
    /** Adds a piece of the prompt. Pieces are separated, so that moving text between messages changes the hash. */
    void add(std::string_view text);

    /** XXH64 of the first 1,024 bytes; never 0. */
    std::uint64_t prefixHash() const;

    /**
     * Estimated number of tokens, at least 1: one for each 4 ASCII bytes and one for each other code point, since tokenizers split non-ASCII text into
     * short tokens.
     */
    TokenCount estimatedTokens() const;

private:
    std::string prefix;
    std::uint64_t asciiBytes = 0;
    std::uint64_t otherCodePoints = 0;
};

}
