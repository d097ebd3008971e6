#pragma once

#include <string>

namespace Lovageward {

/** Answer of the administration API. */
struct AdminAnswer
{
    int status = 0;
    std::string body;
};

/** Sends requests to the administration API. */
class AdminTransport
{
public:
    virtual ~AdminTransport() = default;

    /**
     * `target` is the path after "/admin/v1/" with its query.
     * Throws Error(PeerUnreachable) if the request had no effect, and Error(OutcomeUnknown) if a change may have been made.
     */
    virtual AdminAnswer call(const std::string &method, const std::string &target, const std::string &body) = 0;
};

}
