#include <LibDispatch/DispatchCore.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

constexpr Duration shortestRetryAfter = seconds(1);
constexpr Duration longestRetryAfter = seconds(60);

/** The check for upstreams copies states, so it isn't made at each pass while there are upstreams. */
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
    , retries(this->settings.retryShare, this->settings.retryFloor, this->settings.retryWindow)
    , placements(counters.counter("lovageward_placements_total"))
    , retriesAdmitted(counters.counter("lovageward_retries_total"))
    , withdrawn(counters.counter("lovageward_requests_withdrawn_total"))
    , queueLength(counters.counter("lovageward_queue_length"))
    , runningCount(counters.counter("lovageward_running_placements"))
{
}

TicketId DispatchCore::submit(const WorkItem &item)
{
    this->checkAcceptsWork();
    this->refuseExpired();
    auto work = this->resolver.resolve(item, TicketId(this->lastTicket + 1));
    this->shortenHopeless(work);
    auto entry = work.entry;
    this->checkQueue(entry);
    this->checkBudgets(work, item.isRetry);
    this->enqueue(std::move(work));
    if (this->isPassDue(this->resources[entry.resource])) {
        this->pass(entry.resource);
    } else {
        this->placeArrival(entry);
    }
    this->updateWaiting(entry.resource);
    return entry.ticket;
}

void DispatchCore::step()
{
    this->refuseExpired();
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

void DispatchCore::cancel(TicketId ticket)
{
    if (this->waitingWork.contains(ticket)) {
        this->withdrawn.add();
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
    this->refuseExpired();
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

void DispatchCore::refuseExpired()
{
    for (auto ticket : this->queue.expired(this->clock.now())) {
        if (this->waitingWork.at(ticket).hasNoUpstream) {
            this->refuse(ticket, ResultCode::NoCapacity, "every upstream that may take the request has failed or left", shortestRetryAfter);
        } else {
            this->refuse(ticket, ResultCode::DeadlineExceeded, "no upstream had room before the queue deadline", shortestRetryAfter);
        }
    }
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

void DispatchCore::shortenHopeless(WaitingWork &work) const
{
    // A retry that excludes every upstream can only wait for a new one, and not as long as for room.
    if (work.entry.isRestricted && this->placer.usableUpstreams(work.placement).empty()) {
        work.entry.deadline = std::min(work.entry.deadline, this->clock.now() + this->settings.noUpstreamGrace);
        work.hasNoUpstream = true;
    }
}

void DispatchCore::checkQueue(const QueueEntry &entry)
{
    auto now = this->clock.now();
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

void DispatchCore::checkBudgets(const WaitingWork &work, bool isRetry)
{
    const auto &team = work.entry.team;
    if (this->limiter.inUse(team) >= work.maximumConcurrent) {
        throw this->refusal(ResultCode::TeamLimitReached, "the team has reached its number of concurrent requests", shortestRetryAfter);
    }
    auto now = this->clock.now();
    if (!isRetry) {
        this->retries.countRequest(now);
    } else if (this->retries.tryRetry(now)) {
        this->retriesAdmitted.add();
    } else {
        auto wait = this->retries.nextChange(now) - now;
        throw this->refusal(ResultCode::RetryBudgetExhausted, "too many requests are being retried", wait);
    }
    this->limiter.tryEnter(team, work.maximumConcurrent);
}

void DispatchCore::enqueue(WaitingWork work)
{
    auto ticket = work.entry.ticket;
    this->lastTicket = ticket.value();
    this->queue.push(work.entry);
    this->ticketsByRequest.emplace(work.request, ticket);
    this->waitingWork.emplace(ticket, std::move(work));
    this->queueLength.set(static_cast<std::int64_t>(this->queue.size()));
}

void DispatchCore::placeArrival(const QueueEntry &entry)
{
    // Nothing changed since the last pass, so only the new request is worth an attempt.
    auto next = this->queue.candidates(entry.resource, this->settings.attemptsPerPass);
    auto isNew = [&entry](const QueueEntry &candidate) { return candidate.ticket == entry.ticket; };
    if (std::none_of(next.begin(), next.end(), isNew)) {
        return;
    }
    auto reserved = isNew(next.front()) ? std::vector<UpstreamId>() : this->reservedFor(next.front());
    this->offer(entry.ticket, reserved);
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
    std::vector<UpstreamId> reserved;
    auto isFirst = true;
    for (const auto &entry : this->queue.candidates(resource, this->settings.attemptsPerPass)) {
        auto result = this->offer(entry.ticket, reserved);
        if (result == Offer::Placed) {
            return true;
        }
        if (isFirst && result == Offer::NoRoom) {
            reserved = this->reservedFor(entry);
        }
        isFirst = false;
    }
    return false;
}

DispatchCore::Offer DispatchCore::offer(TicketId ticket, const std::vector<UpstreamId> &reserved)
{
    auto &work = this->waitingWork.at(ticket);
    this->resolver.refresh(work);
    auto request = work.placement;
    request.excluded.insert(request.excluded.end(), reserved.begin(), reserved.end());
    auto attempt = this->placer.tryPlace(std::move(request));
    if (attempt.placement) {
        this->place(work.entry, std::move(*attempt.placement));
        return Offer::Placed;
    }
    return attempt.hadChoice ? Offer::NotYet : Offer::NoRoom;
}

std::vector<UpstreamId> DispatchCore::reservedFor(const QueueEntry &entry)
{
    if (entry.due > this->clock.now()) {
        return {};
    }
    auto &work = this->waitingWork.at(entry.ticket);
    work.reserved = this->placer.reservation(work.placement, work.reserved);
    return work.reserved ? std::vector<UpstreamId> { *work.reserved } : std::vector<UpstreamId>();
}

void DispatchCore::place(const QueueEntry &entry, Placement placement)
{
    this->resources[entry.resource].estimator.countPlaced(this->clock.now());
    auto ticket = entry.ticket;
    auto charged = this->queue.serve(ticket);
    this->runningWork.emplace(placement.id, Running { .resource = entry.resource, .team = entry.team, .workClass = entry.workClass, .charged = charged });
    this->takeOut(ticket);
    this->placements.add();
    this->runningCount.set(static_cast<std::int64_t>(this->runningWork.size()));
    this->decisions.push_back({ .ticket = ticket, .result = std::move(placement) });
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
    if (!this->placer.usableUpstreams(request).empty()) {
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

WaitingWork DispatchCore::takeOut(TicketId ticket)
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
