#pragma once

#include <LibGateway/RolloutReport.h>

#include <vector>

namespace Lovageward {

/** Reports of roll-outs that are due. */
struct DueRolloutReports
{
    /** For the group; empty if none are due. */
    std::vector<RolloutReport> group;
    /** For the relays of other failure domains; empty unless this node is a relay. */
    std::vector<RolloutReport> relays;
};

/** Exchanges the state of roll-outs and the evidence about them with peers. */
class RolloutExchange
{
public:
    virtual ~RolloutExchange() = default;

    virtual DueRolloutReports takeDueReports(std::size_t groupPeers, bool isRelay) = 0;
    virtual TimePoint nextReportAt() const = 0;
    virtual void receiveReport(const HostId &host, const FailureDomainId &domain, const RolloutReport &report) = 0;
};

/** Is notified when a roll-out has reached another phase, which peers must learn of without delay. */
class RolloutListener
{
public:
    virtual ~RolloutListener() = default;
    virtual void rolloutChanged() = 0;
};

}
