#include <policy/FakeNode.h>

#include <algorithm>
#include <numeric>

namespace Lovageward::Bench {

FakeNode::FakeNode(const Deployment &deployment, const std::string &policy, std::uint32_t number, std::uint64_t seed, const ManualClock &clock)
    : table(clock, seconds(5)), deployment(deployment), random(seed * 100 + number)
{
    ChooserParameters parameters {
        .clock = clock, .random = this->random, .table = this->table, .region = deployment.nodes[number], .nodeCount = deployment.nodes.size()
    };
    this->chooser = makeChooser(policy, parameters);
    this->queues.resize(deployment.classes.size());
    for (auto &teams : this->queues) {
        teams.resize(deployment.teamShares.size());
    }
    this->classOrder.resize(deployment.classes.size());
    std::iota(this->classOrder.begin(), this->classOrder.end(), 0U);
    std::ranges::stable_sort(this->classOrder, std::greater<>(), [&deployment](std::uint32_t number) { return deployment.classes[number].priority; });
}

bool FakeNode::enqueue(std::uint32_t request, const Arrival &arrival, bool atFront)
{
    auto &queue = this->queues[arrival.workClass][arrival.team];
    if (queue.size() >= queueBound && !atFront) {
        return false;
    }
    queue.insert(atFront ? queue.begin() : queue.end(), request);
    return true;
}

void FakeNode::remove(std::uint32_t request, const Arrival &arrival)
{
    std::erase(this->queues[arrival.workClass][arrival.team], request);
}

std::vector<std::uint32_t> FakeNode::queueHeads(std::uint32_t workClass) const
{
    std::vector<std::uint32_t> result;
    for (const auto &queue : this->queues[workClass]) {
        if (!queue.empty()) {
            result.push_back(queue.front());
        }
    }
    // Requests are numbered in the order of arrival.
    std::ranges::sort(result);
    return result;
}

const std::vector<std::uint32_t> &FakeNode::classesByPriority() const
{
    return this->classOrder;
}

PlacementRequest FakeNode::placementRequest(const Arrival &arrival) const
{
    const auto &profile = this->deployment.classes[arrival.workClass];
    PlacementRequest request;
    request.team = TeamId("team-" + std::to_string(arrival.team));
    request.workClass = WorkClassId(profile.name);
    request.target = profile.target;
    request.targetTime = Duration(profile.targetTime);
    request.pools = { profile.pool };
    request.prefixHash = arrival.prefixId * 0x9E3779B97F4A7C15ULL;
    request.promptTokens = TokenCount(arrival.promptTokens);
    request.arrivedAt = TimePoint(Duration(arrival.at));
    return request;
}

}
