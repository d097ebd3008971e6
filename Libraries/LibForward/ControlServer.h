#pragma once

#include <LibCore/Counters.h>
#include <LibForward/FeedPageCache.h>
#include <LibHttp/Readiness.h>
#include <LibHttp/RequestServer.h>

#include <Poco/URI.h>

#include <memory>
#include <string>
#include <vector>

namespace Lovageward {

/** HTTP server for the readiness probes of the load balancer, the metrics of operators and the feed pages of peers, on any number of addresses. */
class ControlServer final : public RequestHandler
{
public:
    /** `readinessPath` is the path that the load balancer probes. Metrics are served at /metrics. */
    ControlServer(const Clock &clock, const Readiness &readiness, const Counters &counters, FeedPageCache &pages, std::string readinessPath);
    ~ControlServer() override = default;

    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /** Starts serving on a further address "IP:port". Throws Error(InvalidSettings) if it can't be bound. */
    void listen(const std::string &address);

    bool acceptsBody(const RequestHead &head) override;
    ServedResponse handle(const RequestHead &head, const std::string &body) override;
    ServedResponse handleError(const Error &error) override;

private:
    ServedResponse feedPage(const Poco::URI &uri);

    const Clock &clock;
    const Readiness &readiness;
    const Counters &counters;
    FeedPageCache &pages;
    std::string readinessPath;
    std::vector<std::unique_ptr<RequestServer>> servers;
};

}
