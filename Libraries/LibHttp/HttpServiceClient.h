#pragma once

#include <LibHttp/UpstreamExchange.h>
#include <LibRelay/ServiceClient.h>

namespace Lovageward {

/** ServiceClient over HTTP (docs/design.md, section 7). */
class HttpServiceClient final : public ServiceClient
{
public:
    HttpServiceClient(const Clock &clock, Counters &counters) : exchange(clock, counters)
    {
    }

    ServiceAnswer call(const std::string &address, const ServiceCall &call, TimePoint deadline) override;

private:
    UpstreamExchange exchange;
};

}
