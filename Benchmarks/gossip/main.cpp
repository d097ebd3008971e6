// Measures what membership, load digests and credits cost a node. Time in the simulated runs is counted in steps of one second.
#include <LibCore/SystemClock.h>
#include <LibCredits/CreditCluster.h>
#include <LibMembership/GossipCluster.h>
#include <LibPeer/NngPeerTransport.h>

#include <fmt/format.h>

#include <malloc.h>

#include <ctime>
#include <numeric>

using namespace Lovageward;

namespace {

double processSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nano = 1e-9;
    return static_cast<double>(time.tv_sec) + nano * static_cast<double>(time.tv_nsec);
}

std::uint64_t totalBytes(const GossipCluster &cluster, std::size_t nodes)
{
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < nodes; ++index) {
        total += cluster.bytesOf(index);
    }
    return total;
}

std::string percentiles(std::vector<int> values)
{
    std::sort(values.begin(), values.end());
    auto at = [&values](double share) { return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]; };
    return fmt::format("p50 {} p95 {} p99 {} max {}", at(0.5), at(0.95), at(0.99), values.back());
}

void measureTraffic(std::size_t nodes, double loss)
{
    constexpr int steps = 60;
    GossipCluster cluster(nodes, 1, loss);
    cluster.steps(10);
    auto bytes = totalBytes(cluster, nodes);
    auto cpu = processSeconds();
    cluster.steps(steps);
    auto perNodeSecond = static_cast<double>(nodes) * steps;
    auto rate = static_cast<double>(totalBytes(cluster, nodes) - bytes) / perNodeSecond;
    constexpr double micro = 1e6;
    fmt::print("traffic nodes={} loss={:.2f}: {:.0f} B/s, {:.0f} us CPU/s per node\n", nodes, loss, rate, micro * (processSeconds() - cpu) / perNodeSecond);
}

void measureDetection(std::size_t nodes, int trials)
{
    std::vector<int> firstSteps;
    std::vector<int> eachStep;
    std::vector<int> allSteps;
    for (int trial = 0; trial < trials; ++trial) {
        GossipCluster cluster(nodes, 100 + static_cast<std::uint64_t>(trial));
        cluster.steps(20);
        auto victim = static_cast<std::size_t>(trial) % nodes;
        cluster.kill(victim);
        std::size_t left = nodes - 1;
        for (int step = 1; left > 0; ++step) {
            cluster.step();
            auto believers = cluster.believers(victim);
            if (believers < nodes - 1 && left == nodes - 1) {
                firstSteps.push_back(step);
            }
            eachStep.insert(eachStep.end(), left - believers, step);
            left = believers;
            if (left == 0) {
                allSteps.push_back(step);
            }
        }
    }
    fmt::print("detection nodes={} trials={} (s): first node {}; each node {}; all nodes {}\n",
               nodes,
               trials,
               percentiles(firstSteps),
               percentiles(eachStep),
               percentiles(allSteps));
}

void measureMemory(std::size_t nodes)
{
    auto before = ::mallinfo2().uordblks;
    GossipCluster cluster(nodes, 1);
    cluster.steps(20);
    auto grown = static_cast<double>(::mallinfo2().uordblks - before);
    fmt::print("memory nodes={}: {:.0f} B per member and node\n", nodes, grown / static_cast<double>(nodes * nodes));
}

void measureDigest()
{
    constexpr int entries = 12;
    constexpr int rounds = 20000;
    ManualClock clock;
    clock.advance(minutes(1));
    UpstreamTable table(clock, seconds(5));
    LoadDigest digest { 1, clock.now(), {} };
    for (int index = 0; index < entries; ++index) {
        LoadReport report {
            shortenBootId(BootId(std::to_string(index))), UpstreamPhase::Warm, 40, 2, BlockCount(7800), BlockCount(8000), 4, clock.now() - milliseconds(120)
        };
        UpstreamId id(fmt::format("tailor-llm-{:04}", index));
        digest.entries.push_back({ id, report });
        table.setUpstream({ id, PoolId("tailor-llm"), RegionId("guj-west"), FailureDomainId("surat-a"), "10.0.0.1:8000", false, {} });
    }
    auto encoded = encodeLoadDigest(digest, clock.now());
    auto start = processSeconds();
    for (int round = 0; round < rounds; ++round) {
        encoded = encodeLoadDigest(digest, clock.now());
    }
    auto middle = processSeconds();
    for (int round = 0; round < rounds; ++round) {
        for (const auto &entry : decodeLoadDigest(encoded).entries) {
            table.applyReport(entry.upstream, entry.report);
        }
    }
    constexpr double nano = 1e9;
    auto count = static_cast<double>(rounds) * entries;
    fmt::print("digest entries={}: {:.1f} B, encode {:.0f} ns, decode and apply {:.0f} ns per upstream\n",
               entries,
               static_cast<double>(encoded.size()) / entries,
               nano * (middle - start) / count,
               nano * (processSeconds() - middle) / count);
}

void measureOwnership(std::size_t nodes, std::size_t upstreams)
{
    GossipCluster cluster(nodes, 1);
    auto members = cluster.agent(0).liveMembers();
    auto start = processSeconds();
    OwnershipView view(members.front(), members, { 7, 2 });
    auto built = processSeconds();
    std::size_t used = 0;
    std::size_t owned = 0;
    for (std::size_t index = 0; index < upstreams; ++index) {
        UpstreamId id(std::to_string(index));
        RegionId region(index % 2 == 0 ? "region-0" : "region-1");
        used += view.isUsedBySelf(id, region) ? 1 : 0;
        owned += view.isOwner(id, region) ? 1 : 0;
    }
    constexpr double milli = 1e3;
    fmt::print("ownership nodes={} upstreams={}: view {:.1f} ms, all upstreams {:.1f} ms; this node owns {}, uses {}, sends to {} nodes\n",
               nodes,
               upstreams,
               milli * (built - start),
               milli * (processSeconds() - built),
               owned,
               used,
               view.digestReceivers().size());
}

void measureCredits(std::size_t nodes, int trials)
{
    std::uint64_t messages = 0;
    std::uint64_t arrivals = 0;
    std::uint64_t starts = 0;
    Duration firstWork { 0 };
    for (int trial = 0; trial < trials; ++trial) {
        CreditCluster cluster(nodes, 1 + static_cast<std::uint64_t>(trial));
        auto start = cluster.clock.now();
        while (cluster.creditedArrivals < 100) {
            cluster.step();
            firstWork += cluster.creditedArrivals == 0 ? Duration(CreditCluster::tick) : Duration(0);
        }
        messages += cluster.creditMessages;
        arrivals += cluster.creditedArrivals;
        starts += static_cast<std::uint64_t>((cluster.clock.now() - start) / seconds(1));
    }
    auto count = static_cast<double>(trials);
    fmt::print("credits nodes={} trials={}: {:.0f} messages for {:.0f} requests of a cold start in {:.0f} s; first request after {:.1f} s\n",
               nodes,
               trials,
               static_cast<double>(messages) / count,
               static_cast<double>(arrivals) / count,
               static_cast<double>(starts) / count,
               std::chrono::duration<double>(firstWork).count() / count);
}

class EchoHandler final : public PeerHandler
{
public:
    std::string handle(const PeerMessage &message) override
    {
        return message.payload;
    }
};

void measureTransport(int requests, std::size_t maximumConnections)
{
    constexpr std::size_t peers = 4;
    constexpr std::size_t payloadBytes = 200;
    SystemClock clock;
    SilentSink sink;
    Counters counters;
    EchoHandler handler;
    PeerRouter router(sink, counters);
    router.registerHandler(PeerMessageKind::Probe, handler, 4);
    std::vector<std::unique_ptr<NngPeerTransport>> servers;
    std::vector<PeerAddress> addresses;
    for (std::size_t index = 0; index < peers; ++index) {
        servers.push_back(std::make_unique<NngPeerTransport>(clock, sink, router, NngPeerTransportOptions { 4, peers, seconds(1) }));
        addresses.push_back(servers.back()->listen(PeerAddress("tcp://127.0.0.1:0")));
    }
    NngPeerTransport client(clock, sink, router, { 1, maximumConnections, seconds(1) });
    auto start = processSeconds();
    auto startedAt = clock.now();
    for (int index = 0; index < requests; ++index) {
        const auto &address = addresses[static_cast<std::size_t>(index) % peers];
        client.request(address, { PeerMessageKind::Probe, HostId("a"), std::string(payloadBytes, 'x') }, clock.now() + seconds(30));
    }
    constexpr double micro = 1e6;
    auto cpu = micro * (processSeconds() - start) / requests;
    auto elapsed = static_cast<double>((clock.now() - startedAt).count()) / requests;
    fmt::print("transport {}: {:.0f} us CPU on both ends, {:.0f} us elapsed per request\n",
               maximumConnections < peers ? "new connection" : "kept connection",
               cpu,
               elapsed);
}

}

int main()
{
    constexpr std::size_t large = 340;
    for (std::size_t nodes : { 8, 50, 150, 340 }) {
        measureTraffic(nodes, 0);
        measureTraffic(nodes, 0.01);
        measureDetection(nodes, nodes < large ? 100 : 20);
        measureMemory(nodes);
    }
    measureDigest();
    measureOwnership(large, 4000);
    for (std::size_t nodes : { 3, 8 }) {
        measureCredits(nodes, 50);
    }
    measureTransport(4000, 16);
    measureTransport(2000, 1);
    return 0;
}
