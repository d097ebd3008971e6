#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibMembership/HostListListener.h>
#include <LibMembership/PeriodicTask.h>

#include <vector>

namespace Lovageward {

struct HostListPollerOptions
{
    Duration period = seconds(5);
    Duration timeout = seconds(3);
    /**
     * Mean volume that fetching may use. A row has about 200 bytes, so a list of 4,340 rows is fetched less often than
     * `period` to leave most of the control budget of 5 KB/s to the rest.
     */
    double bytesPerSecond = 1500;
};

/** Fetches the host list once for all its users. An unavailable list changes nothing: the last one stays in force. */
class HostListPoller final : public PeriodicTask
{
public:
    HostListPoller(const Clock &clock,
                   LogSink &sink,
                   Counters &counters,
                   HostList &list,
                   std::vector<HostListListener *> listeners,
                   const HostListPollerOptions &options = {});

    TimePoint step() override;

private:
    Duration periodFor(std::size_t rows) const;

    const Clock &clock;
    Logger logger;
    Counter &failures;
    HostList &list;
    std::vector<HostListListener *> listeners;
    HostListPollerOptions options;
};

}
