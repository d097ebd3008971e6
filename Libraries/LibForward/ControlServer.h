#pragma once

#include <LibCore/Counters.h>
#include <LibCore/EventLog.h>
#include <LibCore/EventThrottle.h>
#include <LibForward/FeedPageCache.h>
#include <LibHttp/Readiness.h>
#include <LibHttp/RequestServer.h>

#include <Poco/URI.h>

#include <memory>
#include <string>
#include <vector>

namespace Lovageward {

/** What a ControlServer works with. All references must outlive it. */
struct ControlDependencies
{
    const Clock &clock;
    EventLog &events;
    MemoryAccount &memory;
    const Readiness &readiness;
    Counters &counters;
    FeedPageCache &pages;
};

/** HTTP server for the readiness probes of the load balancer, the metrics of operators and the feed pages of peers, on any number of addresses. */
class ControlServer final : public RequestHandler
{
public:
    /** Open connections of each address. */
    static constexpr std::size_t maximumConnections = 24;

    /** `readinessPath` is the path that the load balancer probes. Metrics are served at /metrics. */
    ControlServer(const ControlDependencies &dependencies, std::string readinessPath);
    ~ControlServer() override = default;

    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /** Starts serving on a further address "IP:port". Throws Error(InvalidSettings) if it can't be bound. */
    void listen(const std::string &address);

    bool acceptsBody(const RequestHead &head) override;
    ServedResponse handle(const RequestHead &head, const std::string &body) override;
    ServedResponse handleError(const Error &error) override;
    void connectionReleased(ClientWait wait, std::size_t open) override;

private:
    ServedResponse feedPage(const Poco::URI &uri);

    ControlDependencies dependencies;
    std::string readinessPath;
    EventThrottle releases;
    std::vector<std::unique_ptr<RequestServer>> servers;
};

}
