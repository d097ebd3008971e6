#pragma once

#include <LibCore/Ids.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Lovageward {

/**
 * Rendezvous (highest random weight) hashing of keys onto hosts with xxHash64. Scores depend only on host id and key, so
 * all nodes with the same live members agree, and a host that comes or goes moves only its own keys.
 */
class RendezvousHash
{
public:
    explicit RendezvousHash(const std::vector<HostId> &hosts);

    /** Position of the host that ranks first. There must be at least one host. */
    std::size_t first(std::string_view key) const;

    /** Positions of the `count` hosts that rank first, best first; fewer if there are fewer hosts. */
    std::vector<std::size_t> best(std::string_view key, std::size_t count) const;

    /** Weight of a host for a key; the greatest weight owns the key. */
    static std::uint64_t score(const HostId &host, std::string_view key);

private:
    std::vector<std::uint64_t> seeds;
};

}
