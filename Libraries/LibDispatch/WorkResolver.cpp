#include <LibDispatch/WorkResolver.h>

#include <LibCore/Error.h>
#include <LibDispatch/PlacementDueTime.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

ResourceId resourceOf(const WorkItem &item)
{
    if (item.kind == CallKind::Generation) {
        return ResourceId("model/" + item.model.value());
    }
    return ResourceId("pool/" + item.pool.value());
}

Error makeNotRunError(ResultCode code, const std::string &message)
{
    return Error(code, RunState::NotRun, message);
}

}

WaitingWork WorkResolver::resolve(const WorkItem &item, TicketId ticket)
{
    auto team = this->configuration.team(item.team);
    if (!team) {
        throw makeNotRunError(ResultCode::Forbidden, fmt::format("team {} doesn't exist", item.team.value()));
    }
    auto workClass = this->configuration.workClass(item.workClass);
    if (!workClass) {
        throw makeNotRunError(ResultCode::UnknownWorkClass, fmt::format("work class {} doesn't exist", item.workClass.value()));
    }
    WaitingWork work;
    work.request = item.request;
    work.model = item.model;
    work.pool = item.kind == CallKind::Service ? item.pool : PoolId();
    work.maximumConcurrent = team->maximumConcurrent;
    work.resolvedOffset = this->configuration.appliedOffset();
    work.placement = PlacementRequest { .team = item.team,
                                        .workClass = item.workClass,
                                        .target = workClass->target,
                                        .targetTime = workClass->targetTime,
                                        .pools = this->poolsOf(work.model, work.pool),
                                        .prefixHash = item.prefixHash,
                                        .promptTokens = item.promptTokens,
                                        .isOwnRegionOnly = item.isOwnRegionOnly || workClass->isOwnRegionOnly,
                                        .excluded = item.excluded,
                                        .arrivedAt = item.arrivedAt };
    if (work.placement.pools.empty()) {
        throw makeNotRunError(ResultCode::UnknownModel, fmt::format("no pool serves the model {}", item.model.value()));
    }
    work.entry = QueueEntry { .ticket = ticket,
                              .resource = resourceOf(item),
                              .team = item.team,
                              .workClass = item.workClass,
                              .share = team->share,
                              .dueTime = computePlacementDueTime(workClass->target, workClass->targetTime, item.arrivedAt, item.queueDeadline),
                              .deadline = item.queueDeadline,
                              .isRestricted = work.placement.isOwnRegionOnly || !item.excluded.empty() };
    return work;
}

void WorkResolver::refresh(WaitingWork &work)
{
    auto offset = this->configuration.appliedOffset();
    if (offset == work.resolvedOffset) {
        return;
    }
    work.placement.pools = this->poolsOf(work.model, work.pool);
    work.resolvedOffset = offset;
}

std::vector<PoolId> WorkResolver::poolsOf(const ModelId &model, const PoolId &pool)
{
    if (!pool.isEmpty()) {
        return { pool };
    }
    this->refreshPoolsByModel();
    auto found = this->poolsByModel.find(model);
    return found == this->poolsByModel.end() ? std::vector<PoolId>() : found->second;
}

void WorkResolver::refreshPoolsByModel()
{
    // The offset is read before the pools: if the configuration changes in between, the next call reads the pools again.
    auto offset = this->configuration.appliedOffset();
    if (this->hasPools && offset == this->poolsReadOffset) {
        return;
    }
    this->poolsByModel.clear();
    for (const auto &pool : this->configuration.pools()) {
        for (const auto &model : pool.models) {
            this->poolsByModel[model].push_back(pool.id);
        }
    }
    this->poolsReadOffset = offset;
    this->hasPools = true;
}

}
