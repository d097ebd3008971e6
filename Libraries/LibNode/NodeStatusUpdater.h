#pragma once

#include <LibHttp/Readiness.h>
#include <LibMembership/PeriodicTask.h>
#include <LibNode/Routing.h>

#include <atomic>

namespace Lovageward {

/**
 * Periodically passes the membership, the applied configuration offset and the isolation state on to the components that depend on them, and
 * reports whether the node is ready. report() is safe to call from any thread.
 */
class NodeStatusUpdater final : public PeriodicTask, public Readiness
{
public:
    explicit NodeStatusUpdater(Routing &routing);

    TimePoint step() override;
    ReadinessReport report() const override;

private:
    void updateIsolation(bool isNowIsolated);

    Routing &routing;
    Logger logger;
    Counter &isolatedGauge;
    std::atomic<bool> isIsolated = false;
    /** False until the host list has contained an upstream. Until then the node isn't ready, because it would refuse every request for lack of capacity. */
    std::atomic<bool> hasSeenUpstreams = false;
};

}
