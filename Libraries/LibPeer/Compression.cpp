#include <LibPeer/Compression.h>

#include <LibCore/Error.h>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <sstream>

namespace Lovageward {

namespace {

/** zlib's fastest level. Nodes have an eighth of a core. */
constexpr int fastest = 1;

constexpr std::size_t chunkBytes = 4096;

}

std::string deflated(std::string_view bytes)
{
    std::ostringstream output;
    Poco::DeflatingOutputStream stream(output, Poco::DeflatingStreamBuf::STREAM_ZLIB, fastest);
    stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream.close();
    return output.str();
}

std::string inflated(std::string_view bytes, std::size_t maximumBytes)
{
    std::string whole;
    try {
        Poco::MemoryInputStream input(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        Poco::InflatingInputStream stream(input, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::array<char, chunkBytes> chunk {};
        while (stream.read(chunk.data(), chunk.size()), stream.gcount() > 0) {
            whole.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
            if (whole.size() > maximumBytes) {
                throw Error(ResultCode::MalformedMessage, RunState::NotRun, "a compressed message is too large");
            }
        }
        if (stream.bad()) {
            throw Error(ResultCode::MalformedMessage, RunState::NotRun, "a compressed message can't be read");
        }
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, error.displayText());
    }
    return whole;
}

}
