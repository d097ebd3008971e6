#include <LibDispatch/DispatchCore.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

constexpr Duration minimumRetryAfter = seconds(1);
constexpr Duration maximumRetryAfter = seconds(60);

/** Minimum time between two checks for usable upstreams while there are some. The check copies upstream states, which is too costly for each pass. */
constexpr Duration upstreamCheckInterval = milliseconds(500);

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
    , placer(placer)
    , counters(counters)
    , logger(logger)
    , resolver(configuration)
    , queue(this->settings.flowLimit, this->settings.quantumTokens)
    , retryBudget(this->settings.retryRatio, this->settings.minimumRetries, this->settings.retryWindow)
    , placementCounter(counters.counter("lovageward_placements_total"))
    , retryCounter(counters.counter("lovageward_retries_total"))
    , withdrawnCounter(counters.counter("lovageward_requests_withdrawn_total"))
    , queueLengthCounter(counters.counter("lovageward_queue_length"))
    , runningPlacementCounter(counters.counter("lovageward_running_placements"))
{
}

TicketId DispatchCore::submit(const WorkItem &item)
{
    this->checkAcceptsWork();
    this->refuseExpired();
    auto work = this->resolver.resolve(item, TicketId(this->lastTicket + 1));
    this->shortenDeadlineWithoutUpstream(work);
    auto entry = work.entry;
    this->checkQueueLimits(entry);
    this->consumeBudgets(work, item.isRetry);
    this->enqueue(std::move(work));
    if (this->isPassDue(this->resources[entry.resource])) {
        this->placeWaiting(entry.resource);
    } else {
        this->tryPlaceArrival(entry);
    }
    this->updateWaitingState(entry.resource);
    return entry.ticket;
}

void DispatchCore::processQueue()
{
    this->refuseExpired();
    for (const auto &resource : this->queue.waitingResources()) {
        if (this->isPassDue(this->resources[resource])) {
            this->placeWaiting(resource);
        }
        this->updateWaitingState(resource);
    }
}

std::vector<DispatchCore::Decision> DispatchCore::takeDecisions()
{
    return std::exchange(this->decisions, {});
}

void DispatchCore::cancel(TicketId ticket)
{
    if (this->waitingRequests.contains(ticket)) {
        this->withdrawnCounter.add();
        this->refuse(ticket, ResultCode::DeadlineExceeded, "the caller withdrew the request", Duration(0));
    }
}

void DispatchCore::cancel(const RequestId &request)
{
    auto [first, last] = this->ticketsByRequest.equal_range(request);
    std::vector<TicketId> tickets;
    std::transform(first, last, std::back_inserter(tickets), [](const auto &entry) { return entry.second; });
    for (auto ticket : tickets) {
        this->cancel(ticket);
    }
}

void DispatchCore::recordProgress(PlacementId id, TokenCount produced)
{
    auto found = this->runningPlacements.find(id);
    if (found == this->runningPlacements.end()) {
        return;
    }
    auto &work = found->second;
    auto excess = static_cast<double>(produced.value()) - work.chargedTokens;
    if (excess > 0) {
        this->queue.charge(work.resource, work.team, excess);
        work.chargedTokens += excess;
    }
    this->placer.recordProgress(id, produced);
}

void DispatchCore::release(PlacementId id, PlacementOutcome outcome)
{
    this->refuseExpired();
    auto found = this->runningPlacements.find(id);
    auto produced = this->placer.release(id, outcome);
    if (found == this->runningPlacements.end() || !produced) {
        return;
    }
    auto work = std::move(found->second);
    this->runningPlacements.erase(found);
    this->runningPlacementCounter.set(static_cast<std::int64_t>(this->runningPlacements.size()));
    this->teamLimiter.release(work.team);
    // A call without tokens still occupied a slot on the upstream and is charged as one token.
    auto tokens = std::max(1.0, static_cast<double>(produced->value()));
    this->queue.charge(work.resource, work.team, tokens - work.chargedTokens);
    if (outcome == PlacementOutcome::Completed) {
        this->queue.recordLength(work.resource, work.team, work.workClass, tokens);
    }
    if (this->queue.size(work.resource) > 0) {
        this->placeWaiting(work.resource);
        this->updateWaitingState(work.resource);
    }
}

void DispatchCore::stopAcceptingWork()
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
            this->refuse(ticket, ResultCode::NodeIsolated, "the node reaches neither the log nor a peer", minimumRetryAfter);
        }
    }
}

std::optional<TimePoint> DispatchCore::nextDeadline() const
{
    return this->queue.nextDeadline();
}

std::size_t DispatchCore::waitingCount() const
{
    return this->queue.size();
}

std::size_t DispatchCore::runningCount() const
{
    return this->runningPlacements.size();
}

void DispatchCore::refuseExpired()
{
    for (auto ticket : this->queue.expiredTickets(this->clock.now())) {
        if (this->waitingRequests.at(ticket).hasNoUpstream) {
            this->refuse(ticket, ResultCode::NoCapacity, "every upstream that may serve the request has failed or left", minimumRetryAfter);
        } else {
            this->refuse(ticket, ResultCode::DeadlineExceeded, "no upstream had free capacity before the queue deadline", minimumRetryAfter);
        }
    }
}

void DispatchCore::checkAcceptsWork()
{
    if (this->isIsolated) {
        throw this->makeRefusal(ResultCode::NodeIsolated, "the node reaches neither the log nor a peer", minimumRetryAfter);
    }
    if (this->isStopping) {
        throw this->makeRefusal(ResultCode::ShuttingDown, "the node is shutting down", minimumRetryAfter);
    }
}

void DispatchCore::shortenDeadlineWithoutUpstream(WaitingWork &work) const
{
    // A retry that excludes every upstream can only wait for a new one, which is given less time than a wait for capacity.
    if (work.entry.isRestricted && this->placer.usableUpstreams(work.placement).empty()) {
        work.entry.deadline = std::min(work.entry.deadline, this->clock.now() + this->settings.noUpstreamGracePeriod);
        work.hasNoUpstream = true;
    }
}

void DispatchCore::checkQueueLimits(const QueueEntry &entry)
{
    auto now = this->clock.now();
    if (entry.deadline <= now) {
        throw this->makeRefusal(ResultCode::DeadlineExceeded, "the queue deadline had passed on arrival", minimumRetryAfter);
    }
    // With an empty queue the request may be placed at once, regardless of the recent placement rate.
    if (this->queue.size(entry.resource) == 0) {
        return;
    }
    auto wait = this->resources[entry.resource].estimator.estimateWait(now, this->queue.estimateEntriesAhead(entry));
    auto excess = wait.value_or(Duration(0)) - (entry.deadline - now);
    if (this->queue.isFull(entry)) {
        throw this->makeRefusal(ResultCode::QueueFull, "the team's queue for this class is full", excess);
    }
    if (excess > Duration(0)) {
        throw this->makeRefusal(ResultCode::NoCapacity, "the request can't be placed before its queue deadline at the current placement rate", excess);
    }
}

void DispatchCore::consumeBudgets(const WaitingWork &work, bool isRetry)
{
    const auto &team = work.entry.team;
    if (this->teamLimiter.requestCount(team) >= work.maximumConcurrent) {
        throw this->makeRefusal(ResultCode::TeamLimitReached, "the team has reached its maximum number of concurrent requests", minimumRetryAfter);
    }
    auto now = this->clock.now();
    if (!isRetry) {
        this->retryBudget.recordRequest(now);
    } else if (this->retryBudget.tryConsumeRetry(now)) {
        this->retryCounter.add();
    } else {
        auto wait = this->retryBudget.nextChangeTime(now) - now;
        throw this->makeRefusal(ResultCode::RetryBudgetExhausted, "the retry budget is exhausted", wait);
    }
    this->teamLimiter.tryAcquire(team, work.maximumConcurrent);
}

void DispatchCore::enqueue(WaitingWork work)
{
    auto ticket = work.entry.ticket;
    this->lastTicket = ticket.value();
    this->queue.push(work.entry);
    this->ticketsByRequest.emplace(work.request, ticket);
    this->waitingRequests.emplace(ticket, std::move(work));
    this->queueLengthCounter.set(static_cast<std::int64_t>(this->queue.size()));
}

void DispatchCore::tryPlaceArrival(const QueueEntry &entry)
{
    // Upstreams haven't changed since the last pass, so only the new request is tried.
    auto next = this->queue.candidates(entry.resource, this->settings.maximumAttemptsPerPass);
    auto isNew = [&entry](const QueueEntry &candidate) { return candidate.ticket == entry.ticket; };
    if (std::none_of(next.begin(), next.end(), isNew)) {
        return;
    }
    auto reserved = isNew(next.front()) ? std::vector<UpstreamId>() : this->reserveUpstreamFor(next.front());
    this->tryPlace(entry.ticket, reserved);
}

void DispatchCore::placeWaiting(const ResourceId &resource)
{
    while (this->placeNext(resource)) {
    }
    auto &state = this->resources[resource];
    state.isBlocked = this->queue.size(resource) > 0;
    if (state.isBlocked) {
        state.blockedAt = this->clock.now();
        state.blockedTableVersion = this->placer.tableVersion();
        this->refuseWithoutUpstreams(resource, state);
    }
}

bool DispatchCore::placeNext(const ResourceId &resource)
{
    std::vector<UpstreamId> reserved;
    auto isFirst = true;
    for (const auto &entry : this->queue.candidates(resource, this->settings.maximumAttemptsPerPass)) {
        auto result = this->tryPlace(entry.ticket, reserved);
        if (result == AttemptResult::Placed) {
            return true;
        }
        if (isFirst && result == AttemptResult::NoCapacity) {
            reserved = this->reserveUpstreamFor(entry);
        }
        isFirst = false;
    }
    return false;
}

DispatchCore::AttemptResult DispatchCore::tryPlace(TicketId ticket, const std::vector<UpstreamId> &reserved)
{
    auto &work = this->waitingRequests.at(ticket);
    this->resolver.refresh(work);
    auto request = work.placement;
    request.excluded.insert(request.excluded.end(), reserved.begin(), reserved.end());
    auto attempt = this->placer.tryPlace(std::move(request));
    if (attempt.placement) {
        this->recordPlacement(work.entry, std::move(*attempt.placement));
        return AttemptResult::Placed;
    }
    return attempt.hasChosenUpstream ? AttemptResult::Deferred : AttemptResult::NoCapacity;
}

std::vector<UpstreamId> DispatchCore::reserveUpstreamFor(const QueueEntry &entry)
{
    if (entry.dueTime > this->clock.now()) {
        return {};
    }
    auto &work = this->waitingRequests.at(entry.ticket);
    work.reservedUpstream = this->placer.chooseReservation(work.placement, work.reservedUpstream);
    return work.reservedUpstream ? std::vector<UpstreamId> { *work.reservedUpstream } : std::vector<UpstreamId>();
}

void DispatchCore::recordPlacement(const QueueEntry &entry, Placement placement)
{
    this->resources[entry.resource].estimator.recordPlacement(this->clock.now());
    auto ticket = entry.ticket;
    auto chargedTokens = this->queue.serve(ticket);
    this->runningPlacements.emplace(
        placement.id, RunningPlacement { .resource = entry.resource, .team = entry.team, .workClass = entry.workClass, .chargedTokens = chargedTokens });
    this->removeWaiting(ticket);
    this->placementCounter.add();
    this->runningPlacementCounter.set(static_cast<std::int64_t>(this->runningPlacements.size()));
    this->decisions.push_back({ .ticket = ticket, .result = std::move(placement) });
}

bool DispatchCore::isPassDue(const ResourceState &state) const
{
    if (!state.isBlocked || this->placer.tableVersion() != state.blockedTableVersion) {
        return true;
    }
    return state.blockedAt + this->settings.blockedRetryInterval <= this->clock.now();
}

void DispatchCore::refuseWithoutUpstreams(const ResourceId &resource, ResourceState &state)
{
    auto now = this->clock.now();
    if (!state.withoutUpstreamSince && now < state.upstreamsCheckedAt + upstreamCheckInterval) {
        return;
    }
    state.upstreamsCheckedAt = now;
    auto first = this->queue.candidates(resource, 1).front();
    auto request = this->waitingRequests.at(first.ticket).placement;
    request.excluded.clear();
    request.isOwnRegionOnly = false;
    if (!this->placer.usableUpstreams(request).empty()) {
        state.withoutUpstreamSince.reset();
        return;
    }
    if (!state.withoutUpstreamSince) {
        state.withoutUpstreamSince = now;
        this->logger.warning("No upstream for {} accepts new work.", resource.value());
    }
    if (*state.withoutUpstreamSince + this->settings.noUpstreamGracePeriod > now) {
        return;
    }
    for (auto ticket : this->queue.ticketsOf(resource)) {
        this->refuse(ticket, ResultCode::NoCapacity, "no upstream accepts new work", minimumRetryAfter);
    }
}

void DispatchCore::updateWaitingState(const ResourceId &resource)
{
    auto &state = this->resources[resource];
    auto isWaiting = this->queue.size(resource) > 0;
    state.isBlocked = state.isBlocked && isWaiting;
    state.estimator.setWaiting(this->clock.now(), isWaiting);
}

void DispatchCore::refuse(TicketId ticket, ResultCode code, const std::string &message, Duration retryAfter)
{
    auto waiting = this->removeWaiting(ticket);
    this->teamLimiter.release(waiting.entry.team);
    this->updateWaitingState(waiting.entry.resource);
    this->decisions.push_back({ .ticket = ticket, .result = this->makeRefusal(code, message, retryAfter) });
}

Error DispatchCore::makeRefusal(ResultCode code, const std::string &message, Duration retryAfter)
{
    this->counters.counter(fmt::format("lovageward_refusals_total{{code=\"{}\"}}", resultName(code))).add();
    if (retryAfter == Duration(0)) {
        return Error(code, RunState::NotRun, message);
    }
    // Jitter keeps callers that were refused together from retrying together.
    auto base = std::clamp(retryAfter, minimumRetryAfter, maximumRetryAfter);
    auto jitter = Duration(static_cast<Duration::rep>(this->random.unit() * 0.5 * static_cast<double>(base.count())));
    return Error(code, RunState::NotRun, message, base + jitter);
}

WaitingWork DispatchCore::removeWaiting(TicketId ticket)
{
    auto found = this->waitingRequests.find(ticket);
    auto waiting = std::move(found->second);
    this->waitingRequests.erase(found);
    this->queue.remove(ticket);
    auto [first, last] = this->ticketsByRequest.equal_range(waiting.request);
    auto entry = std::find_if(first, last, [ticket](const auto &candidate) { return candidate.second == ticket; });
    this->ticketsByRequest.erase(entry);
    this->queueLengthCounter.set(static_cast<std::int64_t>(this->queue.size()));
    return waiting;
}

}
