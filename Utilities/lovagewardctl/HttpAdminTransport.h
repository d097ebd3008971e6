#pragma once

#include <LibCore/Clock.h>
#include <lovagewardctl/AdminTransport.h>

#include <string>

namespace Lovageward {

/** The administration API of one node over HTTP, with a new connection for each request. */
class HttpAdminTransport final : public AdminTransport
{
public:
    /** `address` is "host:port". Throws Error(InvalidSettings) if it can't be read. */
    HttpAdminTransport(const Clock &clock, std::string address, std::string key, Duration timeout);

    AdminAnswer call(const std::string &method, const std::string &target, const std::string &body) override;

private:
    const Clock &clock;
    std::string address;
    std::string key;
    Duration timeout;
};

}
