#pragma once

#include <LibCore/Ids.h>

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Lovageward {

/** Writes the msgpack encoding of a message between nodes. */
class MessageWriter
{
public:
    /** Starts an array; the next `size` values belong to it. */
    MessageWriter &array(std::size_t size);
    MessageWriter &number(std::uint64_t value);
    MessageWriter &flag(bool value);
    MessageWriter &text(std::string_view value);
    MessageWriter &bytes(std::string_view value);

    /** The encoding of everything written so far. */
    std::string encoded() const;

private:
    msgpack::sbuffer buffer;
};

}
