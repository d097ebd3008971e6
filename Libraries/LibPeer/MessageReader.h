#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Greatest size of a message or an answer between nodes, in bytes. */
inline constexpr std::size_t maximumPeerMessageBytes = 65536;

/**
 * Reads the msgpack encoding of a message between nodes, value by value. All functions throw Error(MalformedMessage) if the
 * bytes don't hold what is asked for or exceed a bound. Values that a newer version appends to an array are skipped.
 */
class MessageReader
{
public:
    /** Checks size, nesting and that the bytes hold exactly one array. */
    explicit MessageReader(std::string_view encoded);

    /** Enters the next value, an array, and returns its size. */
    std::size_t beginArray(std::size_t minimumSize, std::size_t maximumSize);

    /** Leaves the array entered last and skips the values that were not read. */
    void endArray();

    std::uint64_t number(std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max());
    bool flag();
    std::string text(std::size_t maximumBytes = 255);
    std::string bytes(std::size_t maximumBytes);

private:
    struct Level
    {
        const msgpack::object *values;
        std::size_t size;
        std::size_t next;
    };

    const msgpack::object &take();

    msgpack::object_handle handle;
    std::vector<Level> levels;
};

}
