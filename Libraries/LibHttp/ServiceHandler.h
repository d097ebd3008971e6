#pragma once

#include <LibCore/Backoff.h>
#include <LibHttp/CallerRequest.h>
#include <LibHttp/CallerServer.h>
#include <LibHttp/ResponseWriter.h>
#include <LibRelay/Waiter.h>

namespace Lovageward {

/** Answers calls to plain services. Used from all connection threads. */
class ServiceHandler
{
public:
    ServiceHandler(const CallerServerParts &parts, const CallerServerSettings &settings, Waiter &waiter);

    /** Throws Error if the call has no answer. */
    void handle(const WorkClassId &id, const Team &team, const CallerRequest &request, ResponseWriter &response);

private:
    WorkClass classOf(const WorkClassId &id) const;
    ServiceAnswer callWithRetries(WorkItem item, const ServiceCall &call, TimePoint deadline);
    /** Places the call and sends it once. Adds the upstream to the item's excluded ones. */
    ServiceAnswer callOnce(WorkItem &item, const ServiceCall &call, TimePoint deadline);
    RecordedAnswer callAtMostOnce(const WorkItem &item, ServiceCall call, const std::string &key, TimePoint deadline);

    CallerServerParts parts;
    const CallerServerSettings &settings;
    Waiter &waiter;
    Backoff backoff;
    Counter &retries;
    Counter &replays;
};

}
