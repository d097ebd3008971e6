#include "ClaimBench.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace Lovageward {

namespace {

constexpr Duration tick = milliseconds(5);
constexpr Duration batchInterval = milliseconds(200);
constexpr Duration serviceTime = milliseconds(40);
constexpr Duration callTimeout = seconds(5);
constexpr std::size_t answerBytes = 200;
constexpr std::size_t bodyBytes = 300;

class SilentSink final : public LogSink
{
public:
    void write(LogLevel /*level*/, const std::string & /*line*/) override
    {
    }
};

SilentSink silentSink;

double cpuSeconds()
{
    timespec time = {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanosecond = 1e-9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanosecond;
}

}

class ClaimBench::View final : public Membership
{
public:
    View(const ClaimBench &bench, int index) : bench(bench), index(index)
    {
    }

    Member self() const override
    {
        return member(this->index);
    }

    std::vector<Member> liveMembers() const override
    {
        return {};
    }

    Member ownerOf(std::string_view key) const override
    {
        return member(this->bench.ownerOf(key));
    }

    bool canReachAnyPeer() const override
    {
        return true;
    }

private:
    static Member member(int index)
    {
        Member result;
        result.host = HostId(fmt::format("n{}", index));
        result.incarnation = Incarnation(1);
        return result;
    }

    const ClaimBench &bench;
    int index;
};

class ClaimBench::CountingLog final : public InMemoryLogService
{
public:
    CountingLog(const Clock &clock, ClaimBenchResult &result) : InMemoryLogService(clock, minutes(30)), result(result)
    {
    }

    AppendReceipt append(const StreamName &stream, const std::string &payload, TimePoint deadline) override
    {
        ++this->result.routedAppends;
        this->result.logBytes += payload.size();
        return InMemoryLogService::append(stream, payload, deadline);
    }

private:
    ClaimBenchResult &result;
};

struct ClaimBench::Node
{
    Node(ClaimBench &bench, int index)
        : view(bench, index), logger(silentSink, "claims"), service(*bench.log, this->view, bench.clock, bench.random, this->logger, this->counters, settings())
    {
    }

    static ClaimSettings settings()
    {
        ClaimSettings settings;
        // A waiting request would block the benchmark's only thread.
        settings.maximumWaiters = 0;
        return settings;
    }

    View view;
    Counters counters;
    Logger logger;
    ClaimService service;
};

struct ClaimBench::Call
{
    Call(int node, const ClaimedCall &claimed, RandomSource &random, TimePoint now) : node(node), arrivedAt(now), attempt(claimed, random)
    {
    }

    int node;
    TimePoint arrivedAt;
    ClaimAttempt attempt;
    bool isAsked = false;
    bool hasRun = false;
    bool isDone = false;
    TimePoint reportAt;
};

ClaimBench::ClaimBench(int nodes, int callsPerSecond, std::uint64_t seed)
    : nodeCount(nodes), callsPerSecond(callsPerSecond), random(seed), log(std::make_unique<CountingLog>(this->clock, this->result))
{
    for (int index = 0; index < nodes; ++index) {
        this->nodes.push_back(std::make_unique<Node>(*this, index));
    }
}

ClaimBench::~ClaimBench() = default;

ClaimBenchResult ClaimBench::run(Duration length)
{
    auto end = this->clock.now() + length;
    auto batchEnd = this->clock.now() + batchInterval;
    auto startCpu = cpuSeconds();
    double due = 0;
    while (this->clock.now() < end) {
        due += static_cast<double>(this->callsPerSecond) * std::chrono::duration<double>(tick).count();
        for (; due >= 1; due -= 1) {
            this->addCall();
        }
        for (auto &call : this->calls) {
            this->advanceCall(*call);
        }
        this->calls.remove_if([](const auto &call) { return call->isDone; });
        for (auto &node : this->nodes) {
            node->service.stepDue();
        }
        this->clock.advance(tick);
        if (this->clock.now() >= batchEnd) {
            this->closeOwnBatches();
            batchEnd += batchInterval;
        }
    }
    this->result.cpuSeconds = cpuSeconds() - startCpu;
    return this->result;
}

void ClaimBench::addCall()
{
    ++this->result.calls;
    auto node = static_cast<int>(this->random.below(static_cast<std::uint64_t>(this->nodeCount)));
    auto now = std::chrono::duration_cast<seconds>(this->clock.wallNow().time_since_epoch()).count();
    auto key = fmt::format("{}-{}", now, this->random.hexId());
    ClaimedCall claimed { TeamId("team-17"), RequestId("r"), WorkClassId("booking"), key, std::string(bodyBytes, 'b'), this->clock.now() + callTimeout };
    this->calls.push_back(std::make_unique<Call>(node, claimed, this->random, this->clock.now()));
}

void ClaimBench::advanceCall(Call &call)
{
    auto now = this->clock.now();
    if (call.hasRun) {
        if (now < call.reportAt) {
            return;
        }
        auto report = call.attempt.report(RecordedAnswer { 200, std::string(answerBytes, 'a'), false });
        auto state = decodeReportState(this->send(call.node, report.key, PeerMessageKind::ClaimResult, encodeClaimReport(report)));
        call.isDone = state == ReportState::Recorded;
        call.reportAt = now + milliseconds(300);
        return;
    }
    switch (call.attempt.next(now)) {
    case ClaimAttempt::Step::Ask: {
        auto request = call.attempt.request(now);
        if (!call.isAsked) {
            this->recordOwnBatch(call.node, request.key);
            call.isAsked = true;
        }
        call.attempt.onAnswer(decodeClaimAnswer(this->send(call.node, request.key, PeerMessageKind::ClaimRequest, encodeClaimRequest(request))), now);
        return;
    }
    case ClaimAttempt::Step::Run:
        call.hasRun = true;
        call.reportAt = now + serviceTime;
        this->recordOwnBatch(call.node, call.attempt.request(now).key);
        ++this->result.granted;
        this->result.totalWait += now - call.arrivedAt;
        this->result.longestWait = std::max(this->result.longestWait, now - call.arrivedAt);
        return;
    case ClaimAttempt::Step::Wait:
        return;
    default:
        ++this->result.refused;
        call.isDone = true;
    }
}

std::string ClaimBench::send(int from, const std::string &key, PeerMessageKind kind, const std::string &payload)
{
    auto owner = this->ownerOf(streamOf(partitionOf(key)).value());
    auto answer = this->nodes[static_cast<std::size_t>(owner)]->service.handle(PeerMessage { kind, HostId(fmt::format("n{}", from)), payload });
    if (owner != from) {
        this->result.peerMessages += 1;
        this->result.peerBytes += payload.size() + answer.size();
    }
    return answer;
}

void ClaimBench::recordOwnBatch(int node, const std::string &key)
{
    this->batchingNodes.insert(node);
    this->batchingPartitions.emplace(node, partitionOf(key).value());
}

void ClaimBench::closeOwnBatches()
{
    this->result.ownBatchAppends += this->batchingNodes.size();
    this->result.ownPartitionAppends += this->batchingPartitions.size();
    this->batchingNodes.clear();
    this->batchingPartitions.clear();
}

int ClaimBench::ownerOf(std::string_view key) const
{
    int best = 0;
    std::size_t bestRank = 0;
    for (int candidate = 0; candidate < this->nodeCount; ++candidate) {
        auto rank = std::hash<std::string> {}(fmt::format("{}/{}", candidate, key));
        if (rank >= bestRank) {
            best = candidate;
            bestRank = rank;
        }
    }
    return best;
}

ClaimMemory measureClaimMemory(std::size_t claims, std::size_t answerSize)
{
    SeededRandom random(1);
    std::vector<std::pair<std::string, AttemptId>> keys;
    for (std::size_t index = 0; index < claims; ++index) {
        keys.emplace_back("7:team-177:booking1790000000-" + random.hexId(), AttemptId(random.hexId()));
    }
    ClaimTable table;
    LogTime start(seconds(1'790'000'000));
    std::uint64_t offset = 0;
    auto apply = [&](const ClaimRecord &record) { table.apply(LogRecord { Offset(++offset), start, encodeClaimRecord(record) }); };
    auto usedBytes = [] { return static_cast<double>(mallinfo2().uordblks); };
    apply(Ownership { RecordId("r"), HostId("n"), Incarnation(1) });
    auto before = usedBytes();
    std::uint64_t sequence = 0;
    for (const auto &[key, attempt] : keys) {
        apply(ClaimBatch { Offset(1), ++sequence, {}, {}, { Claim { key, start, std::string(16, 'h'), attempt, seconds(5) } } });
    }
    auto open = usedBytes();
    for (const auto &[key, attempt] : keys) {
        apply(ClaimBatch { Offset(1), ++sequence, { Result { key, attempt, 200, std::string(answerSize, 'a'), false } }, {}, {} });
    }
    auto count = static_cast<double>(claims);
    return ClaimMemory { (open - before) / count, (usedBytes() - before) / count };
}

}
