#include <LibClaims/ClaimService.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

// Maximum time that a message blocks its handler thread. The threads belong to the peer router, which also answers probes.
constexpr Duration maximumHandlerWait = milliseconds(250);
constexpr Duration ownershipCheckInterval = seconds(1);
constexpr auto maximumWorkerWait = std::chrono::milliseconds(50);

}

ClaimService::ClaimService(LogService &log,
                           const Membership &membership,
                           const Clock &clock,
                           RandomSource &random,
                           const Logger &logger,
                           Counters &counters,
                           const ClaimSettings &settings)
    : log(log)
    , membership(membership)
    , clock(clock)
    , random(random)
    , logger(logger)
    , settings(settings)
    , appends(counters.counter("lovageward_claim_appends_total"))
    , appendedBytes(counters.counter("lovageward_claim_appended_bytes_total"))
    , failedAppends(counters.counter("lovageward_claim_append_failures_total{outcome=\"not_appended\"}"))
    , unknownAppends(counters.counter("lovageward_claim_append_failures_total{outcome=\"unknown\"}"))
    , acceptedClaims(counters.counter("lovageward_claims_accepted_total"))
    , releasedClaims(counters.counter("lovageward_claims_released_total"))
    , refusedClaims(counters.counter("lovageward_claims_refused_total"))
    , ownerships(counters.counter("lovageward_claim_ownerships_total"))
    , ownedPartitions(counters.counter("lovageward_claim_partitions"))
    , keys(counters.counter("lovageward_claim_keys"))
{
}

ClaimService::~ClaimService()
{
    this->stop();
}

void ClaimService::start(unsigned count)
{
    for (unsigned index = 0; index < count; ++index) {
        this->threads.emplace_back([this] { this->runWorker(); });
    }
}

void ClaimService::stop()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_all();
    for (auto &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

std::string ClaimService::handle(const PeerMessage &message)
{
    if (message.kind == PeerMessageKind::ClaimResult) {
        return encodeReportState(this->report(decodeClaimReport(message.payload)));
    }
    auto request = decodeClaimRequest(message.payload);
    auto waitTime = std::min(maximumHandlerWait, request.remaining);
    return encodeClaimAnswer(this->claim(request, this->clock.now() + waitTime));
}

ClaimAnswer ClaimService::claim(const ClaimRequest &request, TimePoint waitUntil)
{
    auto owner = this->findOrCreateOwner(request.key);
    if (!owner) {
        ClaimAnswer answer;
        answer.state = GrantState::NotOwner;
        return answer;
    }
    auto answer = owner->submit(request);
    this->schedulePartition(partitionOf(request.key));
    auto deadline = this->clock.now() + request.remaining;
    std::unique_lock<std::mutex> guard(this->mutex);
    if (this->waiters < this->settings.maximumWaiters) {
        ++this->waiters;
        while (answer.state == GrantState::Pending && !this->isStopping && this->clock.now() < waitUntil) {
            this->changed.wait_for(guard, std::min<Duration>(maximumWorkerWait, waitUntil - this->clock.now()));
            guard.unlock();
            auto again = request;
            again.remaining = deadline - this->clock.now();
            answer = owner->submit(again);
            guard.lock();
        }
        --this->waiters;
    }
    if (answer.state == GrantState::Refused) {
        this->refusedClaims.add();
    }
    return answer;
}

ReportState ClaimService::report(const ClaimReport &report)
{
    auto owner = this->findOrCreateOwner(report.key);
    if (!owner) {
        return ReportState::NotOwner;
    }
    auto state = owner->report(report);
    this->schedulePartition(partitionOf(report.key));
    return state;
}

TimePoint ClaimService::stepDue()
{
    this->dropMovedPartitions();
    while (auto due = this->takeDueSlot()) {
        auto before = due->owner->counts();
        auto dueAt = due->owner->step();
        this->addToCounters(before, due->owner->counts());
        this->finishStep(due->index, dueAt);
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->earliestDueTime();
}

ClaimOwnerCounts ClaimService::counts() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    ClaimOwnerCounts sum;
    for (const auto &slot : this->slots) {
        if (!slot.owner) {
            continue;
        }
        auto counts = slot.owner->counts();
        sum.appends += counts.appends;
        sum.appendedBytes += counts.appendedBytes;
        sum.readBytes += counts.readBytes;
        sum.failedAppends += counts.failedAppends;
        sum.unknownAppends += counts.unknownAppends;
        sum.acceptedClaims += counts.acceptedClaims;
        sum.releases += counts.releases;
        sum.ownerships += counts.ownerships;
    }
    return sum;
}

std::size_t ClaimService::rememberedKeyCount() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::size_t sum = 0;
    for (const auto &slot : this->slots) {
        sum += slot.owner ? slot.owner->rememberedKeyCount() : 0;
    }
    return sum;
}

bool ClaimService::isOwned(PartitionId partition) const
{
    return this->membership.ownerOf(streamOf(partition).value()).host == this->membership.self().host;
}

std::shared_ptr<ClaimOwner> ClaimService::findOrCreateOwner(const std::string &key)
{
    auto partition = partitionOf(key);
    if (!this->isOwned(partition)) {
        return nullptr;
    }
    auto self = this->membership.self();
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &slot = this->slots[partition.value()];
    if (!slot.owner) {
        slot.owner = std::make_shared<ClaimOwner>(partition, this->log, this->clock, this->random, self.host, self.incarnation, this->settings);
        this->ownedPartitions.add(1);
    }
    return slot.owner;
}

void ClaimService::schedulePartition(PartitionId partition)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &slot = this->slots[partition.value()];
    if (slot.owner && slot.owner->hasWork()) {
        slot.dueAt = std::min(slot.dueAt, this->clock.now());
        this->changed.notify_all();
    }
}

void ClaimService::dropMovedPartitions()
{
    std::vector<std::uint64_t> held;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        if (this->clock.now() < this->ownershipCheckedAt + ownershipCheckInterval) {
            return;
        }
        this->ownershipCheckedAt = this->clock.now();
        for (std::uint64_t index = 0; index < claimPartitions; ++index) {
            if (this->slots[index].owner) {
                held.push_back(index);
            }
        }
    }
    this->enforceKeyLimit();
    for (auto index : held) {
        if (this->isOwned(PartitionId(index))) {
            continue;
        }
        std::lock_guard<std::mutex> guard(this->mutex);
        // A running step keeps its owner alive. Its appends are valid only until the ownership record of the new owner.
        this->slots[index].owner.reset();
        this->slots[index].dueAt = TimePoint::max();
        this->ownedPartitions.add(-1);
        this->logger.info("partition {} moved to another node.", index);
    }
}

void ClaimService::enforceKeyLimit()
{
    auto count = this->rememberedKeyCount();
    this->keys.set(static_cast<std::int64_t>(count));
    std::lock_guard<std::mutex> guard(this->mutex);
    for (auto &slot : this->slots) {
        if (slot.owner) {
            slot.owner->setAdmitting(count < this->settings.maximumKeysPerNode);
        }
    }
}

std::optional<ClaimService::DueSlot> ClaimService::takeDueSlot()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::optional<std::size_t> earliest;
    for (std::size_t index = 0; index < this->slots.size(); ++index) {
        const auto &slot = this->slots[index];
        auto isDue = slot.owner && !slot.isStepping && slot.dueAt <= now;
        if (isDue && (!earliest || slot.dueAt < this->slots[*earliest].dueAt)) {
            earliest = index;
        }
    }
    if (!earliest) {
        return std::nullopt;
    }
    auto &slot = this->slots[*earliest];
    slot.isStepping = true;
    slot.dueAt = TimePoint::max();
    return DueSlot { *earliest, slot.owner };
}

void ClaimService::finishStep(std::size_t index, TimePoint dueAt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &slot = this->slots[index];
    slot.isStepping = false;
    // A request may have arrived after the step checked for work.
    auto hasNewWork = dueAt == TimePoint::max() && slot.owner && slot.owner->hasWork();
    slot.dueAt = hasNewWork ? this->clock.now() : dueAt;
    this->changed.notify_all();
}

TimePoint ClaimService::earliestDueTime() const
{
    auto earliest = TimePoint::max();
    for (const auto &slot : this->slots) {
        if (slot.owner && !slot.isStepping) {
            earliest = std::min(earliest, slot.dueAt);
        }
    }
    return earliest;
}

void ClaimService::runWorker()
{
    while (true) {
        this->stepDue();
        std::unique_lock<std::mutex> guard(this->mutex);
        if (this->isStopping) {
            return;
        }
        auto pause = this->earliestDueTime() - this->clock.now();
        if (pause > Duration(0)) {
            this->changed.wait_for(guard, std::min<Duration>(maximumWorkerWait, pause));
        }
    }
}

void ClaimService::addToCounters(const ClaimOwnerCounts &before, const ClaimOwnerCounts &after)
{
    auto add = [](Counter &counter, std::uint64_t from, std::uint64_t to) { counter.add(static_cast<std::int64_t>(to - from)); };
    add(this->appends, before.appends, after.appends);
    add(this->appendedBytes, before.appendedBytes, after.appendedBytes);
    add(this->failedAppends, before.failedAppends, after.failedAppends);
    add(this->unknownAppends, before.unknownAppends, after.unknownAppends);
    add(this->acceptedClaims, before.acceptedClaims, after.acceptedClaims);
    add(this->releasedClaims, before.releases, after.releases);
    add(this->ownerships, before.ownerships, after.ownerships);
}

}
