#include <LibRelay/PromptSummary.h>

#include <xxhash.h>

#include <algorithm>

namespace Lovageward {

namespace {

// Engines cache prefixes in blocks of a few hundred bytes of text; two prompts that agree in this many bytes share most of their cached prefix.
constexpr std::size_t prefixBytes = 1024;

}

void PromptSummary::add(std::string_view text)
{
    if (this->prefix.size() < prefixBytes) {
        this->prefix.append(text.substr(0, prefixBytes - this->prefix.size()));
        this->prefix += '\0';
    }
    for (char character : text) {
        auto byte = static_cast<unsigned char>(character);
        this->asciiBytes += byte < 0x80 ? 1 : 0;
        // Continuation bytes of UTF-8 belong to the code point before them.
        this->otherCodePoints += byte >= 0xC0 ? 1 : 0;
    }
}

std::uint64_t PromptSummary::prefixHash() const
{
    auto hash = XXH64(this->prefix.data(), this->prefix.size(), 0);
    return std::max<std::uint64_t>(hash, 1);
}

TokenCount PromptSummary::estimatedTokens() const
{
    return TokenCount(std::max<std::uint64_t>(this->asciiBytes / 4 + this->otherCodePoints, 1));
}

}
