#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <optional>
#include <string>

namespace Lovageward {

/** Name of a lease, for example "orders/tailor" or "cold/runner-7". */
using LeaseName = TextId<struct LeaseNameTag>;

/** The process that holds a lease. A restarted process is another holder, because it can't know what it did before. */
struct LeaseOwner
{
    HostId host;
    Incarnation incarnation;

    auto operator<=>(const LeaseOwner &) const = default;
};

/**
 * One record of the stream `leases`. The lease runs from the log's append time for `term`, so its expiry is log time and
 * the same for every reader; the writer doesn't need to know the log's clock.
 */
struct LeaseRecord
{
    RecordId id;
    LeaseName name;
    LeaseOwner owner;
    /** Offset of the lease that this record replaces; 0 if there is none that isn't forgotten. */
    Offset basedOn;
    /** Expiry of that lease, and whether it has the same owner. They let a reader judge the record without that lease. */
    LogTime baseExpiry;
    bool isRenewal = false;
    /** Zero gives the lease back. */
    Duration term = Duration(0);
};

/** msgpack encoding of a record. */
std::string encodeLeaseRecord(const LeaseRecord &record);

/** Empty if the payload isn't a lease record. */
std::optional<LeaseRecord> decodeLeaseRecord(const std::string &payload);

}
