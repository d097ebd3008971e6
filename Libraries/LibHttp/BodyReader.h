#pragma once

#include <LibHttp/HttpConnection.h>

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <string>

namespace Lovageward {

/** Reads the body that follows a response head: chunked, of known length or up to the end of the connection. */
class BodyReader
{
public:
    /** Takes the framing from the response head. */
    BodyReader(HttpConnection &connection, const Poco::Net::HTTPResponse &head);

    /**
     * Appends the next bytes of the body. Returns Ready if there were some, Ended at the end of the body, TimedOut (reading may be
     * continued later), Truncated if the connection ended within the body, or Malformed.
     */
    ReadStatus readSome(std::string &target, TimePoint deadline);

    /** True if the body ends before the connection does, so that the connection can be used again. */
    bool isDelimited() const
    {
        return this->state != State::UntilClose;
    }

private:
    enum class State {
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        KnownLength,
        UntilClose,
        Invalid,
        Done,
    };

    ReadStatus readData(std::string &target, TimePoint deadline);
    /** Handles one line of the chunk framing. */
    ReadStatus readFramingLine(TimePoint deadline);
    bool takeChunkSize(const std::string &line);

    HttpConnection &connection;
    State state = State::UntilClose;
    std::uint64_t remaining = 0;
};

}
