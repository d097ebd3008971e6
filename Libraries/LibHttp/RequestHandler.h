#pragma once

#include <LibCore/MemoryAccount.h>
#include <LibHttp1/MessageHead.h>

#include <string>

namespace Lovageward {

class Error;

/** A whole response. The server adds the framing. */
struct ServedResponse
{
    int status = 0;
    HeaderFields fields;
    std::string body;
};

/** Answers the requests of a RequestServer. Thread-safe. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /** False if the request is answered without reading its body, and its connection closed. */
    virtual bool acceptsBody(const RequestHead &head) = 0;

    virtual ServedResponse handle(const RequestHead &head, const std::string &body) = 0;

    /** The response to a request that can't be read. */
    virtual ServedResponse handleError(const Error &error) = 0;

    /** A connection that waited for what `wait` says is closed, because the server has `open` connections and a new one needs a place. */
    virtual void connectionReleased(ClientWait wait, std::size_t open) = 0;
};

}
