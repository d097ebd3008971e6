#include <LibCore/Error.h>
#include <LibMembership/HostListPoller.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

constexpr double bytesPerRow = 200;

}

HostListPoller::HostListPoller(
    const Clock &clock, LogSink &sink, Counters &counters, HostList &list, std::vector<HostListListener *> listeners, const HostListPollerOptions &options)
    : clock(clock)
    , logger(sink, "hosts")
    , failures(counters.counter("lovageward_host_list_failures_total"))
    , list(list)
    , listeners(std::move(listeners))
    , options(options)
{
}

TimePoint HostListPoller::step()
{
    auto startedAt = this->clock.now();
    try {
        auto hosts = this->list.fetch(startedAt + this->options.timeout);
        for (auto *listener : this->listeners) {
            listener->hostListFetched(hosts);
        }
        return startedAt + this->periodFor(hosts.size());
    } catch (const Error &error) {
        this->failures.add();
        this->logger.warning("the host list is unavailable: {}", error.what());
        return startedAt + this->options.period;
    }
}

Duration HostListPoller::periodFor(std::size_t rows) const
{
    auto budgeted = std::chrono::duration<double>(static_cast<double>(rows) * bytesPerRow / this->options.bytesPerSecond);
    return std::max(this->options.period, std::chrono::ceil<Duration>(budgeted));
}

}
