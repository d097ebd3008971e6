#include <LibRelay/JsonFootprint.h>

namespace Lovageward {

namespace {

// Sizes of POCO's values with their allocations.
constexpr std::uint64_t objectBytes = 800;
constexpr std::uint64_t memberBytes = 200;
constexpr std::uint64_t arrayBytes = 128;
constexpr std::uint64_t elementBytes = 64;

/** Copies of the names and strings: those of the values, and those that keep the order of members. */
constexpr std::uint64_t textCopies = 2;

}

JsonFootprint measureJson(std::string_view text)
{
    JsonFootprint footprint;
    footprint.bytes = textCopies * text.size();
    auto add = [&footprint](std::uint64_t bytes) {
        ++footprint.values;
        footprint.bytes += bytes;
    };
    auto isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        auto character = text[position];
        if (isInString) {
            position += character == '\\' ? 1 : 0;
            isInString = character != '"';
            continue;
        }
        switch (character) {
        case '"':
            isInString = true;
            break;
        case '{':
            add(objectBytes);
            break;
        case ':':
            add(memberBytes);
            break;
        case '[':
            add(arrayBytes);
            break;
        case ',':
            add(elementBytes);
            break;
        default:
            break;
        }
    }
    return footprint;
}

}
