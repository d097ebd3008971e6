#pragma once

#include <LibHttp1/HeaderFields.h>

namespace Lovageward {

/** Versions that the project reads. It always writes HTTP/1.1. */
enum class HttpVersion {
    Http10,
    Http11,
};

/** Head of a request: its request line and header fields. */
struct RequestHead
{
    Method method;
    RequestTarget target;
    HeaderFields fields;
    HttpVersion version = HttpVersion::Http11;

    /** True if the sender keeps the connection open for a further request. */
    bool isKeepAlive() const
    {
        return this->version == HttpVersion::Http11 && !this->fields.hasListElement("Connection", "close");
    }
};

/** Head of a response: its status line and header fields. */
struct ResponseHead
{
    /** From 100 to 599. */
    int status = 0;
    ReasonPhrase reason;
    HeaderFields fields;
    HttpVersion version = HttpVersion::Http11;

    /** True if the sender keeps the connection open for a further request. */
    bool isKeepAlive() const
    {
        return this->version == HttpVersion::Http11 && !this->fields.hasListElement("Connection", "close");
    }
};

/** Copy of a response head for the next recipient: without hop-by-hop fields and Content-Length, which the sender sets for the framing that it uses. */
ResponseHead forwardedHead(const ResponseHead &head);

}
