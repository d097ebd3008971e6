#pragma once

#include <LibCore/Time.h>
#include <LibHttp/ServerSession.h>

#include <cstddef>

namespace Lovageward {

struct RequestServerSettings
{
    /** Requests that are handled at the same time. */
    int maximumThreads = 4;
    /** Open connections; a further one takes the place of another one that keeps the server waiting. */
    std::size_t maximumConnections = 64;
    /** Time from the first byte of a request to its last one, and in which a response has to be taken. */
    Duration requestTimeout = seconds(10);
    /** Connections without a request are closed after this time. */
    Duration idleTimeout = seconds(10);
    /** False if each connection is closed after its first response. */
    bool keepsConnections = true;
    RequestSizeLimits limits;
};

}
