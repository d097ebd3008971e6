#include <LibMembership/RendezvousHash.h>

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace Lovageward {

namespace {

std::uint64_t seedOf(const HostId &host)
{
    return XXH64(host.value().data(), host.value().size(), 0);
}

std::uint64_t seededScore(std::uint64_t seed, std::string_view key)
{
    return XXH64(key.data(), key.size(), seed);
}

}

RendezvousHash::RendezvousHash(const std::vector<HostId> &hosts)
{
    this->seeds.reserve(hosts.size());
    for (const auto &host : hosts) {
        this->seeds.push_back(seedOf(host));
    }
}

std::size_t RendezvousHash::first(std::string_view key) const
{
    std::size_t bestPosition = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t position = 0; position < this->seeds.size(); ++position) {
        auto score = seededScore(this->seeds[position], key);
        if (score > bestScore) {
            bestScore = score;
            bestPosition = position;
        }
    }
    return bestPosition;
}

std::vector<std::size_t> RendezvousHash::best(std::string_view key, std::size_t count) const
{
    std::vector<std::uint64_t> scores;
    scores.reserve(this->seeds.size());
    for (auto seed : this->seeds) {
        scores.push_back(seededScore(seed, key));
    }
    std::vector<std::size_t> positions(this->seeds.size());
    std::iota(positions.begin(), positions.end(), std::size_t(0));
    auto end = positions.begin() + static_cast<std::ptrdiff_t>(std::min(count, positions.size()));
    std::partial_sort(positions.begin(), end, positions.end(), [&scores](auto left, auto right) { return scores[left] > scores[right]; });
    positions.erase(end, positions.end());
    return positions;
}

std::uint64_t RendezvousHash::score(const HostId &host, std::string_view key)
{
    return seededScore(seedOf(host), key);
}

}
