#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibHttp/HttpConnection.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lovageward {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** Writes one response to a caller, either whole or as a chunked stream. */
class ResponseWriter
{
public:
    /** A caller that takes no bytes for `sendTimeout` counts as gone. */
    ResponseWriter(HttpConnection &connection, const Clock &clock, Duration sendTimeout, std::string requestId);

    const std::string &request() const
    {
        return this->requestId;
    }

    /** Makes the response end the connection. */
    void closeAfterwards()
    {
        this->isLast = true;
    }

    /** True if the connection can carry another request. */
    bool isReusable() const
    {
        return !this->isLast && !this->isBroken && (!this->isStreaming || this->isStreamEnded);
    }

    bool hasStarted() const
    {
        return this->isStarted;
    }

    void writeWhole(int status, const std::string &contentType, std::string_view body, const HeaderFields &fields = {});

    /** Writes the error as JSON with its HTTP status and, if advised, Retry-After. `resumeId` names where the caller may go on. */
    void writeError(const Error &error, const std::string &resumeId = {});

    /** Writes the head of a chunked event stream. Returns false if the caller is gone. */
    bool beginEventStream();

    /** Writes a part of the event stream. Returns false if the caller is gone. */
    bool writePart(std::string_view part);

    void endEventStream();

    /** True if the caller closed its connection or didn't take what was written. Doesn't wait. */
    bool isCallerGone();

private:
    bool send(std::string_view bytes);
    std::string head(int status, const std::string &contentType, const HeaderFields &fields) const;

    HttpConnection &connection;
    const Clock &clock;
    Duration sendTimeout;
    std::string requestId;
    bool isLast = false;
    bool isBroken = false;
    bool isStarted = false;
    bool isStreaming = false;
    bool isStreamEnded = false;
};

}
