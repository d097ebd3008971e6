#pragma once

#include <LibConfig/Configuration.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/WaitingWork.h>

#include <map>
#include <vector>

namespace Lovageward {

/** Resolves the team, work class and pools of a request in the configuration. Not thread-safe: its owner serialises the calls. */
class WorkResolver
{
public:
    explicit WorkResolver(const Configuration &configuration) : configuration(configuration)
    {
    }

    /** Throws Error with NotRun: Forbidden, UnknownWorkClass or UnknownModel if the team, work class or model doesn't exist. */
    WaitingWork resolve(const WorkItem &item, TicketId ticket);

    /** Resolves the pools again if the configuration has changed, so that waiting requests follow the change. */
    void refresh(WaitingWork &work);

private:
    std::vector<PoolId> poolsOf(const ModelId &model, const PoolId &pool);
    void refreshPoolsByModel();

    const Configuration &configuration;
    /** Pools by model. Copying all pools for each request is too costly with 4,000 runners. */
    std::map<ModelId, std::vector<PoolId>> poolsByModel;
    Offset poolsReadOffset;
    bool hasPools = false;
};

}
