#include <LibLease/LeaseTable.h>

#include <algorithm>

namespace Lovageward {

bool LeaseTable::apply(Offset offset, LogTime appendedAt, const LeaseRecord &record)
{
    if (offset <= this->lastOffset) {
        return false;
    }
    if (this->firstOffset == Offset()) {
        this->firstOffset = offset;
    }
    this->lastOffset = offset;
    this->forget(appendedAt);
    if (record.term > maximumLeaseTerm) {
        return false;
    }

    auto position = this->entries.find(record.name);
    auto *current = position == this->entries.end() ? nullptr : &position->second;
    if (current != nullptr && appendedAt >= current->lease.expiry + leaseForgottenAfter) {
        current = nullptr;
    }

    Entry next;
    next.lease = Lease { record.owner, record.id, offset, appendedAt, appendedAt + record.term, std::nullopt };
    if (this->isBasedBeforeFirstRead(record, current)) {
        if (!mayFollow(appendedAt, record.baseExpiry, record.isRenewal)) {
            return false;
        }
        next.root = record.basedOn;
        if (!record.isRenewal) {
            next.lease.predecessorExpiry = record.baseExpiry;
        }
    } else if (current != nullptr) {
        auto isSameOwner = current->lease.owner == record.owner;
        if (record.basedOn != current->lease.offset || !mayFollow(appendedAt, current->lease.expiry, isSameOwner)) {
            return false;
        }
        next.root = current->root;
        next.lease.predecessorExpiry = isSameOwner ? current->lease.predecessorExpiry : std::optional(current->lease.expiry);
    } else if (record.basedOn != Offset()) {
        return false;
    }
    this->entries[record.name] = next;
    return true;
}

std::optional<Lease> LeaseTable::find(const LeaseName &name, LogTime now) const
{
    auto position = this->entries.find(name);
    if (position == this->entries.end() || now >= position->second.lease.expiry + leaseForgottenAfter) {
        return std::nullopt;
    }
    return position->second.lease;
}

bool LeaseTable::isBasedBeforeFirstRead(const LeaseRecord &record, const Entry *current) const
{
    // A writer cites only accepted records, so the greatest cited base from before the first read is the true one.
    auto root = current == nullptr ? Offset() : current->root;
    return record.basedOn > root && record.basedOn < this->firstOffset;
}

bool LeaseTable::mayFollow(LogTime appendedAt, LogTime baseExpiry, bool isSameOwner)
{
    if (appendedAt >= baseExpiry + leaseForgottenAfter) {
        return false;
    }
    return isSameOwner || appendedAt >= baseExpiry;
}

void LeaseTable::forget(LogTime now)
{
    constexpr Duration sweepInterval = seconds(10);
    if (now < this->sweptAt + sweepInterval) {
        return;
    }
    this->sweptAt = now;
    std::erase_if(this->entries, [now](const auto &item) { return now >= item.second.lease.expiry + leaseForgottenAfter; });
}

}
