#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <memory>
#include <string>
#include <vector>

namespace Lovageward::StandIns {

/** A request, with its path split into segments and its query parsed, and the response to it. */
struct HttpExchange
{
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    std::vector<std::string> path;
    Poco::URI::QueryParameters query;

    std::string body() const;
    std::string queryValue(const std::string &name, const std::string &fallback) const;
    void respond(int status, const std::string &body, const std::string &contentType = "application/json") const;
};

/** External system that the stand-in program simulates. Must be thread-safe. */
class Role
{
public:
    virtual ~Role() = default;
    virtual void handle(HttpExchange &exchange) = 0;
};

/** HTTP server that passes requests to a role; uses a thread with a small stack per connection. */
class StandInServer
{
public:
    /** Binds to `listen`, given as "IP:port"; port 0 selects a free port. */
    StandInServer(Role &role, const std::string &listen);
    ~StandInServer();

    std::uint16_t port() const;

private:
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

/** Parses a JSON object; an empty text yields an empty object. */
Poco::JSON::Object::Ptr parseObject(const std::string &text);

}
