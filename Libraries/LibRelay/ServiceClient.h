#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <string>

namespace Lovageward {

/** A call to a plain service. */
struct ServiceCall
{
    RequestId request;
    std::string operation;
    /** JSON body. */
    std::string body;
    /** True if the call must be sent on a new connection, because it must not be repeated. */
    bool needsNewConnection = false;
};

struct ServiceAnswer
{
    /** HTTP status of the service. */
    int status = 0;
    /** JSON body. */
    std::string body;
};

/** Client of plain services at "IP:port" addresses. Thread-safe. */
class ServiceClient
{
public:
    virtual ~ServiceClient() = default;

    /**
     * Throws Error(UpstreamUnavailable, NotRun) if no byte of the call was written, Error(UpstreamRefused, NotRun) for 429 and 503,
     * Error(UpstreamConnectionLost or UpstreamSilent, Unknown) if the call may have run, and Error(AnswerMismatch, Unknown)
     * if the answer belongs to another request.
     */
    virtual ServiceAnswer call(const std::string &address, const ServiceCall &call, TimePoint deadline) = 0;
};

}
