#pragma once

#include <LibLease/LeaseRecord.h>

#include <map>
#include <optional>

namespace Lovageward {

/** No lease runs longer. Together with the time until a lease is forgotten it limits how far back a reader must read. */
constexpr Duration maximumLeaseTerm = seconds(60);

/**
 * Log time after its expiry at which a lease is forgotten, so that a later record must be based on 0. It exceeds the
 * longest wait for a predecessor's orders (order timeout plus 30 s), so a forgotten predecessor never needs to be waited out.
 */
constexpr Duration leaseForgottenAfter = seconds(120);

/**
 * Log time that a reader has to go back to judge new records like a reader of the whole stream. In the first half of the
 * span the reader may take a record as accepted that was refused because of a record before the span; such a lease has
 * expired and is forgotten at the end of the second half.
 */
constexpr Duration leaseReadSpan = 2 * (maximumLeaseTerm + leaseForgottenAfter);

/** An accepted lease. */
struct Lease
{
    LeaseOwner owner;
    RecordId record;
    /** Offset of the accepted record; also the fencing number. */
    Offset offset;
    LogTime appendedAt;
    LogTime expiry;
    /** Expiry of the last lease that another owner held; empty if there is none that isn't forgotten. */
    std::optional<LogTime> predecessorExpiry;
};

/**
 * State of all leases as a pure function of the records of the stream `leases`. Records are applied in offset order.
 * A record is accepted if it is based on the newest accepted record of its name and that lease has expired by log time or
 * has the same owner.
 */
class LeaseTable
{
public:
    /** Applies a record and tells whether it was accepted. Records at or below the last applied offset change nothing. */
    bool apply(Offset offset, LogTime appendedAt, const LeaseRecord &record);

    /** Newest accepted lease of the name, also after its expiry until it is forgotten at the given log time. */
    std::optional<Lease> find(const LeaseName &name, LogTime now) const;

    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry
    {
        Lease lease;
        /** Base of the oldest record of this chain that the reader has seen, to recognise a base from before the first read. */
        Offset root;
    };

    bool isBasedBeforeFirstRead(const LeaseRecord &record, const Entry *current) const;
    static bool mayFollow(LogTime appendedAt, LogTime baseExpiry, bool isSameOwner);
    void forget(LogTime now);

    std::map<LeaseName, Entry> entries;
    Offset firstOffset;
    Offset lastOffset;
    LogTime sweptAt;
};

}
