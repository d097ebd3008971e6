#include <LibLease/LeaseHolder.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Clears the flag when the operation ends. */
class BusyGuard
{
public:
    explicit BusyGuard(std::atomic<bool> &flag) : flag(flag), isOwner(!flag.exchange(true))
    {
    }

    BusyGuard(const BusyGuard &) = delete;
    BusyGuard &operator=(const BusyGuard &) = delete;

    ~BusyGuard()
    {
        if (this->isOwner) {
            this->flag = false;
        }
    }

    bool hasEntered() const
    {
        return this->isOwner;
    }

private:
    std::atomic<bool> &flag;
    bool isOwner;
};

}

LeaseHolder::LeaseHolder(LeaseLog &log, const Clock &clock, RandomSource &random, const LeaseName &name, const LeaseOwner &owner, const LeaseSettings &settings)
    : log(log), clock(clock), random(random), name(name), owner(owner), settings(settings)
{
    if (settings.term > maximumLeaseTerm || settings.margin >= settings.term) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "a lease term must be at most 60 s and longer than its margin");
    }
}

bool LeaseHolder::acquire(TimePoint deadline)
{
    BusyGuard guard(this->isBusy);
    if (!guard.hasEntered()) {
        return this->isHeldNow();
    }
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->isWanted = true;
        if (this->clock.now() < std::min(this->renewAt, this->view.validUntil)) {
            return true;
        }
    }
    try {
        this->acquireOnce(deadline);
    } catch (const Error &error) {
        // An append with an unknown outcome is found by its record id at the next call.
    }
    return this->isHeldNow();
}

void LeaseHolder::release(TimePoint deadline)
{
    BusyGuard guard(this->isBusy);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->isWanted = false;
        this->attempts.clear();
        this->view.validUntil = TimePoint();
    }
    if (!guard.hasEntered()) {
        return;
    }
    try {
        this->log.refresh(deadline);
        auto current = this->log.find(this->name);
        if (current && current->owner == this->owner && current->expiry > this->log.reachedLogTime()) {
            this->appendRecord(current, Duration(0), deadline);
        }
    } catch (const Error &error) {
        // The lease then runs out by itself.
    }
}

bool LeaseHolder::isHeldNow() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->clock.now() < this->view.validUntil;
}

std::optional<HeldLease> LeaseHolder::held() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->clock.now() >= this->view.validUntil) {
        return std::nullopt;
    }
    return this->view;
}

std::optional<LeaseOwner> LeaseHolder::currentOwner() const
{
    auto lease = this->log.find(this->name);
    if (!lease || lease->expiry <= this->log.reachedLogTime()) {
        return std::nullopt;
    }
    return lease->owner;
}

void LeaseHolder::acquireOnce(TimePoint deadline)
{
    this->log.refresh(deadline);
    auto current = this->log.find(this->name);
    this->adopt(current);
    if (!this->needsAppend(current)) {
        return;
    }
    this->appendRecord(current, this->settings.term, deadline);
    this->log.refresh(deadline);
    this->adopt(this->log.find(this->name));
}

bool LeaseHolder::needsAppend(const std::optional<Lease> &current) const
{
    if (current && current->owner != this->owner && current->expiry > this->log.reachedLogTime()) {
        return false;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->clock.now() >= std::min(this->renewAt, this->view.validUntil);
}

void LeaseHolder::appendRecord(const std::optional<Lease> &current, Duration term, TimePoint deadline)
{
    LeaseRecord record;
    record.id = RecordId(this->random.hexId());
    record.name = this->name;
    record.owner = this->owner;
    record.term = term;
    if (current) {
        record.basedOn = current->offset;
        record.baseExpiry = current->expiry;
        record.isRenewal = current->owner == this->owner;
    }
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        auto now = this->clock.now();
        // An attempt older than its term can no longer make the lease valid.
        std::erase_if(this->attempts, [now](const auto &item) { return now >= item.second.sentAt + item.second.term; });
        this->attempts[record.id] = Attempt { now, term };
    }
    this->log.append(record, deadline);
}

void LeaseHolder::adopt(const std::optional<Lease> &current)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->isWanted || !current || current->owner != this->owner) {
        this->view.validUntil = TimePoint();
        return;
    }
    auto attempt = this->attempts.find(current->record);
    if (attempt == this->attempts.end() || current->offset.value() == this->view.fencingNumber.value()) {
        return;
    }
    this->view.fencingNumber = FencingNumber(current->offset.value());
    this->view.validUntil = attempt->second.sentAt + attempt->second.term - this->settings.margin;
    this->renewAt = attempt->second.sentAt + attempt->second.term / 3;
    if (this->predecessorExpiry != current->predecessorExpiry) {
        this->predecessorExpiry = current->predecessorExpiry;
        this->view.predecessorEndedBy.reset();
        if (current->predecessorExpiry) {
            this->view.predecessorEndedBy = this->clock.now() - (current->appendedAt - *current->predecessorExpiry);
        }
    }
}

}
