#pragma once

#include <policy/Arrivals.h>
#include <policy/Case.h>

#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lovageward::Bench {

/** State of a request during a run. */
struct Request
{
    enum class State : std::uint8_t {
        Queued,
        Placed,
        Refused,
        Lost,
        Done,
    };

    Arrival arrival;
    PlacementRequest placementRequest;
    State state = State::Queued;
    std::uint32_t engine = 0;
    bool usesCredit = false;
    PlacementId placement;
    std::uint32_t produced = 0;
    Micros firstTokenAt = 0;
    Micros endedAt = 0;
    Micros longestGap = 0;
};

/**
 * Simulates an entry node: the queue, which is the same for all policies, and the node's own chooser and upstream table. The
 * queue is bounded per class and team. Requests are served by the priority of their class and then by age, as in the queues of
 * the engines, so that the comparison shows the effect of the placement and not of the queue.
 */
class FakeNode
{
public:
    FakeNode(const Deployment &deployment, const std::string &policy, std::uint32_t number, std::uint64_t seed, const ManualClock &clock);

    /** Adds a request to the queue. Returns false if the queue of its class and team is full. */
    bool enqueue(std::uint32_t request, const Arrival &arrival, bool atFront);

    /** Removes the request from the queue. */
    void remove(std::uint32_t request, const Arrival &arrival);

    /** First request of each team in the class, sorted by age with the oldest first. */
    std::vector<std::uint32_t> queueHeads(std::uint32_t workClass) const;

    /** Class numbers from the highest priority to the lowest. */
    const std::vector<std::uint32_t> &classesByPriority() const;

    PlacementRequest placementRequest(const Arrival &arrival) const;

    UpstreamTable table;
    std::unique_ptr<UpstreamChooser> chooser;

private:
    /** Maximum number of waiting requests per class and team. */
    static constexpr std::size_t queueBound = 200;

    const Deployment &deployment;
    SeededRandom random;
    /** Queued requests by class and team. */
    std::vector<std::vector<std::deque<std::uint32_t>>> queues;
    std::vector<std::uint32_t> classOrder;
};

}
