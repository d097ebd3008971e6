#include <LibClaims/ClaimPartition.h>

#include <fmt/format.h>
#include <xxhash.h>

namespace Lovageward {

PartitionId partitionOf(std::string_view scopedKey)
{
    return PartitionId(XXH3_64bits(scopedKey.data(), scopedKey.size()) % claimPartitions);
}

StreamName streamOf(PartitionId partition)
{
    return StreamName(fmt::format("claims-{:02}", partition.value()));
}

std::string hashBody(std::string_view body)
{
    auto hash = XXH3_128bits(body.data(), body.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    return { reinterpret_cast<const char *>(canonical.digest), sizeof(canonical.digest) };
}

}
