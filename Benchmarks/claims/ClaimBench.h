#pragma once

#include <LibClaims/ClaimAttempt.h>
#include <LibClaims/ClaimService.h>
#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibLog/InMemoryLogService.h>

#include <list>
#include <memory>
#include <set>
#include <vector>

namespace Lovageward {

/** Results of one run. Times are measured with a manual clock, except cpuSeconds. */
struct ClaimBenchResult
{
    std::uint64_t calls = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    /** Appends at the log when requests are routed to the owner of their partition. */
    std::uint64_t routedAppends = 0;
    /** Appends if each node batched its own claims and results instead, into one stream or into the streams of the partitions. */
    std::uint64_t ownBatchAppends = 0;
    std::uint64_t ownPartitionAppends = 0;
    std::uint64_t logBytes = 0;
    std::uint64_t peerBytes = 0;
    std::uint64_t peerMessages = 0;
    /** Sum over the granted calls of the time from arrival to grant. */
    Duration totalWait = Duration(0);
    Duration longestWait = Duration(0);
    double cpuSeconds = 0;
};

/** Benchmark of several nodes that claim calls at a fixed rate through one in-memory log, on a manual clock. */
class ClaimBench
{
public:
    ClaimBench(int nodes, int callsPerSecond, std::uint64_t seed);
    ~ClaimBench();

    ClaimBench(const ClaimBench &) = delete;
    ClaimBench &operator=(const ClaimBench &) = delete;

    ClaimBenchResult run(Duration length);

private:
    class View;
    class CountingLog;
    struct Node;
    struct Call;

    void addCall();
    void advanceCall(Call &call);
    /** Sends an encoded message to the owner of the key and counts it if the owner is another node. */
    std::string send(int from, const std::string &key, PeerMessageKind kind, const std::string &payload);
    void recordOwnBatch(int node, const std::string &key);
    void closeOwnBatches();
    int ownerOf(std::string_view key) const;

    int nodeCount;
    int callsPerSecond;
    ManualClock clock;
    SeededRandom random;
    std::unique_ptr<CountingLog> log;
    std::vector<std::unique_ptr<Node>> nodes;
    std::list<std::unique_ptr<Call>> calls;
    std::set<int> batchingNodes;
    std::set<std::pair<int, std::uint64_t>> batchingPartitions;
    ClaimBenchResult result;
};

/** Heap bytes per claim in a table, without a result and with a recorded answer. */
struct ClaimMemory
{
    double open = 0;
    double finished = 0;
};

/** Measures a table of `claims` claims and answers of `answerSize` bytes. */
ClaimMemory measureClaimMemory(std::size_t claims, std::size_t answerSize);

}
