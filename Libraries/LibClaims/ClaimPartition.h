#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Lovageward {

/** Number of a key partition, from 0 to claimPartitions - 1. */
using PartitionId = NumberId<struct PartitionIdTag>;

/** Number of key partitions. Part of the protocol: a change needs new streams. */
constexpr std::uint64_t claimPartitions = 64;

/** Partition of a scoped key. */
PartitionId partitionOf(std::string_view scopedKey);

/** Log stream of a partition, "claims-00" to "claims-63"; also its key for rendezvous hashing. */
StreamName streamOf(PartitionId partition);

/** 128-bit hash that distinguishes the request bodies of one key. Not cryptographic: it detects mistakes, not attacks. */
std::string hashBody(std::string_view body);

}
