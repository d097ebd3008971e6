#pragma once

#include <LibCore/Error.h>
#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibMembership/GossipAgent.h>
#include <LibPeer/PeerEnvelope.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lovageward {

class SilentSink final : public LogSink
{
public:
    void write(LogLevel, const std::string &) override
    {
    }
};

/** The common clock with a wall time of the node's own. */
class SkewedClock final : public Clock
{
public:
    SkewedClock(const Clock &base, Duration skew) : base(base), skew(skew)
    {
    }

    TimePoint now() const override
    {
        return this->base.now();
    }

    WallTime wallNow() const override
    {
        return this->base.wallNow() + this->skew;
    }

private:
    const Clock &base;
    Duration skew;
};

/**
 * Gossip agents in one thread over an in-memory transport with seeded loss. One step is one second: every running node
 * probes once, in random order. Deterministic for a seed.
 */
class GossipCluster
{
public:
    GossipCluster(std::size_t size, std::uint64_t seed, double loss = 0) : random(seed), loss(loss)
    {
        for (std::size_t index = 0; index < size; ++index) {
            this->nodes.push_back(std::make_unique<Node>(*this, index));
        }
        for (std::size_t index = 0; index < size; ++index) {
            this->start(index);
        }
    }

    void step()
    {
        this->clock.advance(seconds(1));
        std::vector<std::size_t> order;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            order.insert(order.begin() + static_cast<std::ptrdiff_t>(this->random.below(index + 1)), index);
        }
        for (auto index : order) {
            if (this->isRunning(index)) {
                this->nodes[index]->agent->step();
            }
        }
    }

    void steps(int count)
    {
        for (int index = 0; index < count; ++index) {
            this->step();
        }
    }

    /** Starts a node, or starts it again with a higher incarnation and no memory. */
    void start(std::size_t index)
    {
        auto &node = *this->nodes[index];
        Member self { hostOf(index), Incarnation(++this->starts), regionOf(index), FailureDomainId("domain-" + std::to_string(index % 3)), addressOf(index),
                      Offset(0) };
        node.agent = std::make_unique<GossipAgent>(node.clock, this->random, node, this->runner, this->sink, this->counters, self);
        node.agent->hostListFetched(this->hostList());
        node.isPaused = false;
    }

    void kill(std::size_t index)
    {
        this->nodes[index]->agent.reset();
    }

    void setPaused(std::size_t index, bool isPaused)
    {
        this->nodes[index]->isPaused = isPaused;
    }

    /** Removes a node from the host list and tells the running nodes. */
    void setListed(std::size_t index, bool isListed, bool isLeaving = false)
    {
        this->nodes[index]->isListed = isListed;
        this->nodes[index]->isListedLeaving = isLeaving;
        for (auto &node : this->nodes) {
            if (node->agent) {
                node->agent->hostListFetched(this->hostList());
            }
        }
    }

    /** Messages pass only between nodes for which this is true. */
    void setLinks(std::function<bool(std::size_t, std::size_t)> newLinks)
    {
        this->links = std::move(newLinks);
    }

    bool isRunning(std::size_t index) const
    {
        return this->nodes[index]->agent && !this->nodes[index]->isPaused;
    }

    GossipAgent &agent(std::size_t index)
    {
        return *this->nodes[index]->agent;
    }

    /** For each node, the running nodes that count it as live. */
    std::vector<std::size_t> believers() const
    {
        std::vector<std::size_t> counts(this->nodes.size());
        for (const auto &node : this->nodes) {
            if (!this->isRunning(node->index)) {
                continue;
            }
            for (const auto &member : node->agent->liveMembers()) {
                ++counts[std::stoul(member.host.value().substr(hostPrefix.size()))];
            }
        }
        return counts;
    }

    std::size_t believers(std::size_t index) const
    {
        return this->believers()[index];
    }

    std::size_t runningCount() const
    {
        return this->countRunning([](const GossipAgent &) { return true; });
    }

    /** Bytes that a node has sent and received, with headers and connection set-up. */
    std::uint64_t bytesOf(std::size_t index) const
    {
        return this->nodes[index]->bytes;
    }

    ManualClock &time()
    {
        return this->clock;
    }

    static HostId hostOf(std::size_t index)
    {
        auto number = std::to_string(index);
        return HostId(hostPrefix + std::string(3 - std::min<std::size_t>(3, number.size()), '0') + number);
    }

private:
    static inline const std::string hostPrefix = "entry-";
    // TCP, IP and nng headers of a message and of its acknowledgement.
    static constexpr std::uint64_t headerBytes = 116;
    // Opening and closing the connection of a probe, since a node keeps connections to a part of the others only.
    static constexpr std::uint64_t connectionBytes = 400;

    struct Node final : public PeerTransport
    {
        // Every tenth node's wall clock is wrong by up to a minute.
        Node(GossipCluster &cluster, std::size_t index)
            : cluster(cluster), index(index), clock(cluster.clock, index % 10 == 9 ? seconds(cluster.random.below(60)) : seconds(0))
        {
        }

        std::string request(const PeerAddress &address, const PeerMessage &message, TimePoint) override
        {
            return this->cluster.deliver(this->index, address, message);
        }

        GossipCluster &cluster;
        std::size_t index;
        SkewedClock clock;
        std::unique_ptr<GossipAgent> agent;
        bool isPaused = false;
        bool isListed = true;
        bool isListedLeaving = false;
        std::uint64_t bytes = 0;
    };

    std::string deliver(std::size_t from, const PeerAddress &address, const PeerMessage &message)
    {
        auto to = std::stoul(address.value().substr(address.value().rfind(':') + 1));
        auto &sender = *this->nodes[from];
        auto &receiver = *this->nodes[to];
        auto sent = encodePeerMessage(message).size() + headerBytes + connectionBytes;
        sender.bytes += sent;
        auto isOpen = !this->links || this->links(from, to);
        if (!this->isRunning(to) || !isOpen || this->isLost()) {
            throw Error(ResultCode::PeerTimeout, RunState::Unknown, "no answer");
        }
        receiver.bytes += sent;
        auto answer = receiver.agent->handle(message);
        receiver.bytes += answer.size() + headerBytes;
        if (this->isLost()) {
            throw Error(ResultCode::PeerTimeout, RunState::Unknown, "the answer was lost");
        }
        sender.bytes += answer.size() + headerBytes;
        return answer;
    }

    bool isLost()
    {
        return this->random.unit() < this->loss;
    }

    std::size_t countRunning(const std::function<bool(const GossipAgent &)> &predicate) const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            count += this->isRunning(index) && predicate(*this->nodes[index]->agent) ? 1 : 0;
        }
        return count;
    }

    std::vector<ListedHost> hostList() const
    {
        std::vector<ListedHost> rows;
        for (const auto &node : this->nodes) {
            if (node->isListed) {
                rows.push_back({ hostOf(node->index).value(),
                                 HostKind::Entry,
                                 PoolId(),
                                 regionOf(node->index),
                                 FailureDomainId("domain-" + std::to_string(node->index % 3)),
                                 "",
                                 addressOf(node->index),
                                 node->isListedLeaving });
            }
        }
        return rows;
    }

    static RegionId regionOf(std::size_t index)
    {
        return RegionId("region-" + std::to_string(index % 2));
    }

    static PeerAddress addressOf(std::size_t index)
    {
        return PeerAddress("tcp://10.20.30.40:" + std::to_string(index));
    }

    ManualClock clock;
    SeededRandom random;
    double loss;
    SequentialRunner runner;
    SilentSink sink;
    Counters counters;
    std::uint64_t starts = 1'790'000'000'000;
    std::function<bool(std::size_t, std::size_t)> links;
    std::vector<std::unique_ptr<Node>> nodes;
};

}
