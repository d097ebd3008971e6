#pragma once

#include <LibCore/Time.h>
#include <lovagewardctl/AdminTransport.h>

#include <cstdint>

namespace Lovageward {

/** The administration API of one node over HTTP, with a new connection for each request. */
class HttpAdminTransport final : public AdminTransport
{
public:
    /** `address` is "host:port". Throws Error(InvalidSettings) if it can't be read. */
    HttpAdminTransport(const std::string &address, std::string key, Duration timeout);

    AdminAnswer call(const std::string &method, const std::string &target, const std::string &body) override;

private:
    std::string host;
    std::uint16_t port = 0;
    std::string key;
    Duration timeout;
};

}
