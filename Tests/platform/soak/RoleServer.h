#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace Lovageward::Soak {

/** Answers all requests of a stand-in. Called by many threads. */
class RoleHandler
{
public:
    virtual ~RoleHandler() = default;
    virtual void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) = 0;
};

/** Serves on a free port of the loopback interface, prints "port N" and runs until the process is killed. */
int serveRole(RoleHandler &handler);

}
