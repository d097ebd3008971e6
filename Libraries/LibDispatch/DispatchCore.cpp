#include <LibDispatch/DispatchCore.h>

#include <LibDispatch/PlacementDue.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

constexpr Duration shortestRetryAfter = seconds(1);
constexpr Duration longestRetryAfter = seconds(60);

/** The check for upstreams copies states, so it isn't made at each pass while there are upstreams. */
constexpr Duration upstreamCheckInterval = milliseconds(500);

ResourceId resourceOf(const WorkItem &item)
{
    if (item.kind == CallKind::Generation) {
        return ResourceId("model/" + item.model.value());
    }
    return ResourceId("pool/" + item.pool.value());
}

}

DispatchCore::DispatchCore(DispatchSettings settings,
                           const Clock &clock,
                           RandomSource &random,
                           const Configuration &configuration,
                           Placer &placer,
                           Counters &counters,
                           const Logger &logger)
    : settings(std::move(settings))
    , clock(clock)
    , random(random)
    , configuration(configuration)
    , placer(placer)
    , counters(counters)
    , logger(logger)
    , queue(this->settings.flowLimit, this->settings.quantumTokens)
    , retries(this->settings.retryShare, this->settings.retryFloor, this->settings.retryWindow)
    , placements(counters.counter("lovageward_placements_total"))
    , retriesAdmitted(counters.counter("lovageward_retries_total"))
    , queueLength(counters.counter("lovageward_queue_length"))
    , runningCount(counters.counter("lovageward_running_placements"))
{
}

TicketId DispatchCore::submit(const WorkItem &item)
{
    this->checkAcceptsWork();
    auto team = this->configuration.team(item.team);
    if (!team) {
        throw this->refusal(ResultCode::Forbidden, fmt::format("team {} doesn't exist", item.team.value()), Duration(0));
    }
    auto waiting = this->describe(item, *team);
    this->checkQueue(waiting);
    this->checkBudgets(item, *team);
    auto ticket = waiting.entry.ticket;
    auto resource = waiting.entry.resource;
    this->enqueue(std::move(waiting));
    auto &state = this->resources[resource];
    if (this->isPassDue(state)) {
        this->pass(resource);
    } else {
        // Nothing changed since the last pass, so only the new request is worth an attempt, unless an aged one holds its place.
        auto next = this->queue.candidates(resource, this->settings.attemptsPerPass);
        auto isHeld = next.front().due <= this->clock.now() && !next.front().isRestricted && next.front().ticket != ticket;
        auto isNext = std::any_of(next.begin(), next.end(), [ticket](const QueueEntry &entry) { return entry.ticket == ticket; });
        if (isNext && !isHeld) {
            this->offer(ticket, false);
        }
    }
    this->updateWaiting(resource);
    return ticket;
}

void DispatchCore::step()
{
    for (auto ticket : this->queue.expired(this->clock.now())) {
        this->refuse(ticket, ResultCode::DeadlineExceeded, "no upstream had room before the queue deadline", shortestRetryAfter);
    }
    for (const auto &resource : this->queue.waitingResources()) {
        if (this->isPassDue(this->resources[resource])) {
            this->pass(resource);
        }
        this->updateWaiting(resource);
    }
}

std::vector<DispatchCore::Decision> DispatchCore::takeDecisions()
{
    return std::exchange(this->decisions, {});
}

void DispatchCore::cancel(const RequestId &request)
{
    auto [first, last] = this->ticketsByRequest.equal_range(request);
    std::vector<TicketId> tickets;
    std::transform(first, last, std::back_inserter(tickets), [](const auto &entry) { return entry.second; });
    for (auto ticket : tickets) {
        this->refuse(ticket, ResultCode::DeadlineExceeded, "the caller withdrew the request", Duration(0));
    }
}

void DispatchCore::progress(PlacementId id, TokenCount produced)
{
    auto found = this->runningWork.find(id);
    if (found == this->runningWork.end()) {
        return;
    }
    auto &work = found->second;
    auto excess = static_cast<double>(produced.value()) - work.charged;
    if (excess > 0) {
        this->queue.charge(work.resource, work.team, excess);
        work.charged += excess;
    }
    this->placer.progress(id, produced);
}

void DispatchCore::release(PlacementId id, PlacementOutcome outcome)
{
    auto found = this->runningWork.find(id);
    auto produced = this->placer.release(id, outcome);
    if (found == this->runningWork.end() || !produced) {
        return;
    }
    auto work = std::move(found->second);
    this->runningWork.erase(found);
    this->runningCount.set(static_cast<std::int64_t>(this->runningWork.size()));
    this->limiter.leave(work.team);
    // A call that produced no tokens still took a place, which counts as one token.
    auto tokens = std::max(1.0, static_cast<double>(produced->value()));
    this->queue.charge(work.resource, work.team, tokens - work.charged);
    if (outcome == PlacementOutcome::Completed) {
        this->queue.recordLength(work.resource, work.team, work.workClass, tokens);
    }
    if (this->queue.size(work.resource) > 0) {
        this->pass(work.resource);
        this->updateWaiting(work.resource);
    }
}

void DispatchCore::stop()
{
    this->isStopping = true;
}

void DispatchCore::setIsolated(bool newIsIsolated)
{
    this->isIsolated = newIsIsolated;
    if (!newIsIsolated) {
        return;
    }
    for (const auto &resource : this->queue.waitingResources()) {
        for (auto ticket : this->queue.ticketsOf(resource)) {
            this->refuse(ticket, ResultCode::NodeIsolated, "the node reaches neither the log nor a peer", shortestRetryAfter);
        }
    }
}

std::optional<TimePoint> DispatchCore::nextDeadline() const
{
    return this->queue.nextDeadline();
}

std::size_t DispatchCore::waiting() const
{
    return this->queue.size();
}

std::size_t DispatchCore::running() const
{
    return this->runningWork.size();
}

void DispatchCore::checkAcceptsWork()
{
    if (this->isIsolated) {
        throw this->refusal(ResultCode::NodeIsolated, "the node reaches neither the log nor a peer", shortestRetryAfter);
    }
    if (this->isStopping) {
        throw this->refusal(ResultCode::ShuttingDown, "the node is shutting down", shortestRetryAfter);
    }
}

DispatchCore::Waiting DispatchCore::describe(const WorkItem &item, const Team &team) const
{
    auto workClass = this->configuration.workClass(item.workClass);
    if (!workClass) {
        throw Error(ResultCode::UnknownWorkClass, RunState::NotRun, fmt::format("work class {} doesn't exist", item.workClass.value()));
    }
    Waiting waiting;
    waiting.request = item.request;
    waiting.model = item.model;
    waiting.pool = item.pool;
    waiting.resolvedAt = this->configuration.appliedOffset();
    waiting.placement = PlacementRequest { .team = item.team,
                                           .workClass = item.workClass,
                                           .target = workClass->target,
                                           .targetTime = workClass->targetTime,
                                           .pools = this->poolsOf(item.model, item.pool),
                                           .prefixHash = item.prefixHash,
                                           .promptTokens = item.promptTokens,
                                           .isOwnRegionOnly = item.isOwnRegionOnly || workClass->isOwnRegionOnly,
                                           .excluded = item.excluded,
                                           .arrivedAt = item.arrivedAt };
    if (waiting.placement.pools.empty()) {
        throw Error(ResultCode::UnknownModel, RunState::NotRun, fmt::format("no pool serves the model {}", item.model.value()));
    }
    waiting.entry = QueueEntry { .ticket = TicketId(this->lastTicket + 1),
                                 .resource = resourceOf(item),
                                 .team = item.team,
                                 .workClass = item.workClass,
                                 .share = team.share,
                                 .due = placementDue(workClass->target, workClass->targetTime, item.arrivedAt, item.queueDeadline),
                                 .deadline = item.queueDeadline,
                                 .isRestricted = waiting.placement.isOwnRegionOnly || !item.excluded.empty() };
    return waiting;
}

std::vector<PoolId> DispatchCore::poolsOf(const ModelId &model, const PoolId &pool) const
{
    if (!pool.isEmpty()) {
        return { pool };
    }
    std::vector<PoolId> pools;
    for (const auto &candidate : this->configuration.pools()) {
        if (std::find(candidate.models.begin(), candidate.models.end(), model) != candidate.models.end()) {
            pools.push_back(candidate.id);
        }
    }
    return pools;
}

void DispatchCore::checkQueue(const Waiting &waiting)
{
    auto now = this->clock.now();
    const auto &entry = waiting.entry;
    if (entry.deadline <= now) {
        throw this->refusal(ResultCode::DeadlineExceeded, "the queue deadline had passed on arrival", shortestRetryAfter);
    }
    // With an empty queue the request may be placed at once, whatever the rate was before.
    if (this->queue.size(entry.resource) == 0) {
        return;
    }
    auto wait = this->resources[entry.resource].estimator.expectedWait(now, this->queue.ahead(entry));
    auto excess = wait.value_or(Duration(0)) - (entry.deadline - now);
    if (this->queue.isFull(entry)) {
        throw this->refusal(ResultCode::QueueFull, "the team's queue for this class is full", excess);
    }
    if (excess > Duration(0)) {
        throw this->refusal(ResultCode::NoCapacity, "the request can't be placed before its queue deadline at the present rate", excess);
    }
}

void DispatchCore::checkBudgets(const WorkItem &item, const Team &team)
{
    if (this->limiter.inUse(item.team) >= team.maximumConcurrent) {
        throw this->refusal(ResultCode::TeamLimitReached, "the team has reached its number of concurrent requests", shortestRetryAfter);
    }
    auto now = this->clock.now();
    if (!item.isRetry) {
        this->retries.countRequest(now);
    } else if (this->retries.tryRetry(now)) {
        this->retriesAdmitted.add();
    } else {
        auto wait = this->retries.nextChange(now) - now;
        throw this->refusal(ResultCode::RetryBudgetExhausted, "too many requests are being retried", wait);
    }
    this->limiter.tryEnter(item.team, team.maximumConcurrent);
}

void DispatchCore::enqueue(Waiting waiting)
{
    auto ticket = waiting.entry.ticket;
    this->lastTicket = ticket.value();
    this->queue.push(waiting.entry);
    this->ticketsByRequest.emplace(waiting.request, ticket);
    this->waitingWork.emplace(ticket, std::move(waiting));
    this->queueLength.set(static_cast<std::int64_t>(this->queue.size()));
}

void DispatchCore::pass(const ResourceId &resource)
{
    while (this->placeOne(resource)) {
    }
    auto &state = this->resources[resource];
    state.isBlocked = this->queue.size(resource) > 0;
    if (state.isBlocked) {
        state.blockedAt = this->clock.now();
        state.blockedVersion = this->placer.tableVersion();
        this->checkUpstreams(resource, state);
    }
}

bool DispatchCore::placeOne(const ResourceId &resource)
{
    auto isFirst = true;
    for (const auto &entry : this->queue.candidates(resource, this->settings.attemptsPerPass)) {
        auto result = this->offer(entry.ticket, isFirst);
        if (result != Offer::Blocked) {
            return result == Offer::Placed;
        }
        isFirst = false;
    }
    return false;
}

DispatchCore::Offer DispatchCore::offer(TicketId ticket, bool isFirst)
{
    auto &waiting = this->waitingWork.at(ticket);
    this->refreshPools(waiting);
    auto attempt = this->placer.tryPlace(waiting.placement);
    if (attempt.placement) {
        this->place(waiting, std::move(*attempt.placement));
        return Offer::Placed;
    }
    // Short work would otherwise take each bit of room that an aged long request is waiting for.
    auto isAged = waiting.entry.due <= this->clock.now();
    auto isHeld = isFirst && isAged && !attempt.hadChoice && !waiting.entry.isRestricted;
    return isHeld ? Offer::Held : Offer::Blocked;
}

void DispatchCore::place(Waiting &waiting, Placement placement)
{
    const auto &entry = waiting.entry;
    this->resources[entry.resource].estimator.countPlaced(this->clock.now());
    auto ticket = entry.ticket;
    auto charged = this->queue.serve(ticket);
    this->runningWork.emplace(placement.id, Running { .resource = entry.resource, .team = entry.team, .workClass = entry.workClass, .charged = charged });
    this->takeOut(ticket);
    this->placements.add();
    this->runningCount.set(static_cast<std::int64_t>(this->runningWork.size()));
    this->decisions.push_back({ .ticket = ticket, .result = std::move(placement) });
}

void DispatchCore::refreshPools(Waiting &waiting) const
{
    auto offset = this->configuration.appliedOffset();
    if (offset != waiting.resolvedAt) {
        waiting.placement.pools = this->poolsOf(waiting.model, waiting.pool);
        waiting.resolvedAt = offset;
    }
}

bool DispatchCore::isPassDue(const ResourceState &state) const
{
    if (!state.isBlocked || this->placer.tableVersion() != state.blockedVersion) {
        return true;
    }
    return state.blockedAt + this->settings.blockedRetryInterval <= this->clock.now();
}

void DispatchCore::checkUpstreams(const ResourceId &resource, ResourceState &state)
{
    auto now = this->clock.now();
    if (!state.withoutUpstreamSince && now < state.upstreamsCheckedAt + upstreamCheckInterval) {
        return;
    }
    state.upstreamsCheckedAt = now;
    auto first = this->queue.candidates(resource, 1).front();
    auto request = this->waitingWork.at(first.ticket).placement;
    request.excluded.clear();
    request.isOwnRegionOnly = false;
    if (this->placer.hasUpstream(request)) {
        state.withoutUpstreamSince.reset();
        return;
    }
    if (!state.withoutUpstreamSince) {
        state.withoutUpstreamSince = now;
        this->logger.warning("No upstream for {} may take new work.", resource.value());
    }
    if (*state.withoutUpstreamSince + this->settings.noUpstreamGrace > now) {
        return;
    }
    for (auto ticket : this->queue.ticketsOf(resource)) {
        this->refuse(ticket, ResultCode::NoCapacity, "no upstream may take new work", shortestRetryAfter);
    }
}

void DispatchCore::updateWaiting(const ResourceId &resource)
{
    auto &state = this->resources[resource];
    auto isWaiting = this->queue.size(resource) > 0;
    state.isBlocked = state.isBlocked && isWaiting;
    state.estimator.setWaiting(this->clock.now(), isWaiting);
}

void DispatchCore::refuse(TicketId ticket, ResultCode code, const std::string &message, Duration retryAfter)
{
    auto waiting = this->takeOut(ticket);
    this->limiter.leave(waiting.entry.team);
    this->updateWaiting(waiting.entry.resource);
    this->decisions.push_back({ .ticket = ticket, .result = this->refusal(code, message, retryAfter) });
}

Error DispatchCore::refusal(ResultCode code, const std::string &message, Duration retryAfter)
{
    this->counters.counter(fmt::format("lovageward_refusals_total{{code=\"{}\"}}", resultName(code))).add();
    if (retryAfter == Duration(0)) {
        return Error(code, RunState::NotRun, message);
    }
    // Callers that were refused at the same moment must not come back at the same moment.
    auto base = std::clamp(retryAfter, shortestRetryAfter, longestRetryAfter);
    auto jitter = Duration(static_cast<Duration::rep>(this->random.unit() * 0.5 * static_cast<double>(base.count())));
    return Error(code, RunState::NotRun, message, base + jitter);
}

DispatchCore::Waiting DispatchCore::takeOut(TicketId ticket)
{
    auto found = this->waitingWork.find(ticket);
    auto waiting = std::move(found->second);
    this->waitingWork.erase(found);
    this->queue.remove(ticket);
    auto [first, last] = this->ticketsByRequest.equal_range(waiting.request);
    auto entry = std::find_if(first, last, [ticket](const auto &candidate) { return candidate.second == ticket; });
    this->ticketsByRequest.erase(entry);
    this->queueLength.set(static_cast<std::int64_t>(this->queue.size()));
    return waiting;
}

}
