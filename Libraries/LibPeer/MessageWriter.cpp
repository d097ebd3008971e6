#include <LibPeer/MessageWriter.h>

namespace Lovageward {

namespace {

msgpack::packer<msgpack::sbuffer> packerFor(msgpack::sbuffer &buffer)
{
    return msgpack::packer<msgpack::sbuffer>(buffer);
}

}

MessageWriter &MessageWriter::array(std::size_t size)
{
    packerFor(this->buffer).pack_array(static_cast<std::uint32_t>(size));
    return *this;
}

MessageWriter &MessageWriter::number(std::uint64_t value)
{
    packerFor(this->buffer).pack_uint64(value);
    return *this;
}

MessageWriter &MessageWriter::flag(bool value)
{
    packerFor(this->buffer).pack(value);
    return *this;
}

MessageWriter &MessageWriter::text(std::string_view value)
{
    auto packer = packerFor(this->buffer);
    packer.pack_str(static_cast<std::uint32_t>(value.size()));
    packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
    return *this;
}

MessageWriter &MessageWriter::bytes(std::string_view value)
{
    auto packer = packerFor(this->buffer);
    packer.pack_bin(static_cast<std::uint32_t>(value.size()));
    packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    return *this;
}

std::string MessageWriter::encoded() const
{
    return { this->buffer.data(), this->buffer.size() };
}

}
