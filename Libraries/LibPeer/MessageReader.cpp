#include <LibCore/Error.h>
#include <LibPeer/MessageReader.h>

namespace Lovageward {

namespace {

// Deep nesting would let a small message use much stack.
constexpr std::size_t maximumDepth = 8;

[[noreturn]] void malformed(const std::string &what)
{
    throw Error(ResultCode::MalformedMessage, RunState::NotRun, "malformed message: " + what);
}

msgpack::object_handle unpackBounded(std::string_view encoded)
{
    if (encoded.size() > maximumPeerMessageBytes) {
        malformed("too long");
    }
    msgpack::unpack_limit limit(maximumPeerMessageBytes, 0, maximumPeerMessageBytes, maximumPeerMessageBytes, 0, maximumDepth);
    std::size_t offset = 0;
    try {
        auto handle = msgpack::unpack(encoded.data(), encoded.size(), offset, nullptr, nullptr, limit);
        if (offset != encoded.size()) {
            malformed("trailing bytes");
        }
        return handle;
    } catch (const msgpack::unpack_error &error) {
        malformed(error.what());
    }
}

}

MessageReader::MessageReader(std::string_view encoded) : handle(unpackBounded(encoded))
{
    this->levels.push_back({ &this->handle.get(), 1, 0 });
}

std::size_t MessageReader::beginArray(std::size_t minimumSize, std::size_t maximumSize)
{
    const auto &value = this->take();
    if (value.type != msgpack::type::ARRAY) {
        malformed("an array is missing");
    }
    if (value.via.array.size < minimumSize || value.via.array.size > maximumSize) {
        malformed("an array has a wrong size");
    }
    this->levels.push_back({ value.via.array.ptr, value.via.array.size, 0 });
    return value.via.array.size;
}

void MessageReader::endArray()
{
    this->levels.pop_back();
}

std::uint64_t MessageReader::number(std::uint64_t maximum)
{
    const auto &value = this->take();
    if (value.type != msgpack::type::POSITIVE_INTEGER || value.via.u64 > maximum) {
        malformed("a number is missing or too great");
    }
    return value.via.u64;
}

bool MessageReader::flag()
{
    const auto &value = this->take();
    if (value.type != msgpack::type::BOOLEAN) {
        malformed("a flag is missing");
    }
    return value.via.boolean;
}

std::string MessageReader::text(std::size_t maximumBytes)
{
    const auto &value = this->take();
    if (value.type != msgpack::type::STR || value.via.str.size > maximumBytes) {
        malformed("a text is missing or too long");
    }
    return { value.via.str.ptr, value.via.str.size };
}

std::string MessageReader::bytes(std::size_t maximumBytes)
{
    const auto &value = this->take();
    if (value.type != msgpack::type::BIN || value.via.bin.size > maximumBytes) {
        malformed("bytes are missing or too long");
    }
    return { value.via.bin.ptr, value.via.bin.size };
}

const msgpack::object &MessageReader::take()
{
    auto &level = this->levels.back();
    if (level.next == level.size) {
        malformed("a value is missing");
    }
    return level.values[level.next++];
}

}
