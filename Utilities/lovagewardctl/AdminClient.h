#pragma once

#include <LibHttp/AdministrationJson.h>
#include <lovagewardctl/AdminTransport.h>

namespace Lovageward {

/** Requests to the administration API with answers as JSON. */
class AdminClient
{
public:
    explicit AdminClient(AdminTransport &transport) : transport(transport)
    {
    }

    /** Throws Error with the code that the API answered, or that of the transport. */
    JsonObject call(const std::string &method, const std::string &target, const std::string &body = "");

    /** As call() with GET, but null if the API answers NotFound. */
    JsonObject find(const std::string &target);

private:
    AdminTransport &transport;
};

/** Escapes a text for use in a path or query. */
std::string escaped(const std::string &text);

}
