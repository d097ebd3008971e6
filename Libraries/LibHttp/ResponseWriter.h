#pragma once

#include <LibCore/Error.h>
#include <LibHttp/ServerSession.h>
#include <LibHttp1/MessageHead.h>

#include <string>
#include <string_view>

namespace Lovageward {

/** Writes one response to a caller, either whole or as a chunked stream. A caller that exceeds the socket's send timeout counts as gone. */
class ResponseWriter
{
public:
    /** For the answer to a request that could not be read. */
    ResponseWriter(ServerSession &session, std::string requestId);

    ResponseWriter(ServerSession &session, std::string requestId, const RequestHead &request);

    const std::string &request() const
    {
        return this->requestId;
    }

    /** Makes the response end the connection. */
    void closeAfterwards()
    {
        this->isLast = true;
    }

    bool hasStarted() const
    {
        return this->isStarted;
    }

    void writeWhole(int status, const std::string &contentType, std::string_view body, const HeaderFields &fields = {});

    /** Writes the error as JSON with its HTTP status and, if advised, Retry-After. `resumeId` names where the caller may go on. */
    void writeError(const Error &error, const std::string &resumeId = {});

    /** Writes the head of an event stream. Returns false if the caller is gone. */
    bool beginEventStream();

    /** Writes a part of the event stream. Returns false if the caller is gone. */
    bool writePart(std::string_view part);

    void endEventStream();

    /** True if the caller closed its connection or didn't take what was written. Doesn't wait. */
    bool isCallerGone();

    /**
     * Ends the response and returns true if the connection can carry another request. The connection of a stream that was not ended is shut down without
     * the last chunk, so that the caller sees that its answer is incomplete.
     */
    bool finish();

private:
    /** Writes the head and, in the same write, the first bytes of the body. */
    bool begin(int status, HeaderFields fields, std::string_view body);
    bool send(std::string_view bytes);

    ServerSession &session;
    std::string requestId;
    bool isHeadOnly = false;
    bool canBeChunked = true;
    bool isStarted = false;
    bool isLast = false;
    bool isBroken = false;
    bool isStreaming = false;
    bool isStreamEnded = false;
};

}
