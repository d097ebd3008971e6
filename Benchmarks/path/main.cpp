// Compares the path through a node with the direct path to the same engine in one run, since absolute times on a shared machine say little.

#include "LibHttp/ServerFixture.h"
#include "PacedEngine.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

using namespace Lovageward;

namespace {

using Steady = std::chrono::steady_clock;

/** Times of one or more streams, in milliseconds. */
struct Samples
{
    std::vector<double> firstToken;
    std::vector<double> gaps;
    std::uint64_t tokens = 0;
    std::uint64_t failures = 0;

    void add(const Samples &other)
    {
        this->firstToken.insert(this->firstToken.end(), other.firstToken.begin(), other.firstToken.end());
        this->gaps.insert(this->gaps.end(), other.gaps.begin(), other.gaps.end());
        this->tokens += other.tokens;
        this->failures += other.failures;
    }
};

double millisecondsBetween(Steady::time_point from, Steady::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

const std::string requestBody = R"({"model":"story","stream":true,"messages":[{"role":"user","content":"hello"}]})";

/** Sends one request and takes the times of its tokens. */
Samples readStream(Poco::Net::HTTPClientSession &session)
{
    Samples samples;
    try {
        Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", Poco::Net::HTTPRequest::HTTP_1_1);
        request.setKeepAlive(true);
        request.set("Authorization", "Bearer key");
        request.set("X-Request-Id", "request");
        request.set("X-Generation-Id", "generation");
        request.setContentLength64(static_cast<Poco::Int64>(requestBody.size()));
        auto last = Steady::now();
        session.sendRequest(request) << requestBody;
        Poco::Net::HTTPResponse head;
        auto &stream = session.receiveResponse(head);
        bool isWhole = false;
        for (std::string line; std::getline(stream, line);) {
            isWhole = isWhole || line.starts_with("data: [DONE]");
            if (isWhole || !line.starts_with("data: ")) {
                continue;
            }
            auto now = Steady::now();
            (samples.tokens == 0 ? samples.firstToken : samples.gaps).push_back(millisecondsBetween(last, now));
            ++samples.tokens;
            last = now;
        }
        samples.failures = isWhole ? 0 : 1;
    } catch (const Poco::Exception &) {
        samples.failures = 1;
        session.reset();
    }
    return samples;
}

/** Runs clients in threads; each sends `rounds` requests, one every `interval`, or at once if it is zero. */
Samples runClients(std::uint16_t port, int clients, int rounds, std::chrono::microseconds interval)
{
    Samples total;
    std::mutex mutex;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(clients));
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            Poco::Net::HTTPClientSession session("127.0.0.1", port);
            session.setKeepAlive(true);
            Samples own;
            auto next = Steady::now() + interval * client / clients;
            for (int round = 0; round < rounds; ++round) {
                std::this_thread::sleep_until(next);
                own.add(readStream(session));
                next += interval;
            }
            std::lock_guard<std::mutex> guard(mutex);
            total.add(own);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return total;
}

double processSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto secondsOf = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
}

double residentKibibytes()
{
    std::ifstream file("/proc/self/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

void printTarget(const std::string &name, double measured, double target, const std::string &unit)
{
    fmt::print("{:<34} {:>10.3f} {}  target <= {} {}: {}\n", name, measured, unit, target, unit, measured <= target ? "met" : "not met");
}

void measureLatency(PacedEngine &engine, std::uint16_t node)
{
    constexpr int clients = 8;
    engine.pace.tokens = 1;
    engine.pace.gap = 0;
    runClients(node, clients, 50, std::chrono::microseconds(0));
    auto start = Steady::now();
    auto full = runClients(node, clients, 250, std::chrono::microseconds(0));
    auto rate = static_cast<double>(full.firstToken.size()) / (millisecondsBetween(start, Steady::now()) / 1000);
    fmt::print("{:<34} {:>10.0f} requests/s, {} failures\n", "node, closed loop, 8 clients", rate, full.failures);
    // Alternating short phases put both paths under the same disturbance by other processes.
    auto interval = std::chrono::microseconds(static_cast<std::int64_t>(clients * 2 * 1e6 / rate));
    Samples direct;
    Samples through;
    for (int phase = 0; phase < 10; ++phase) {
        direct.add(runClients(engine.port(), clients, 50, interval));
        through.add(runClients(node, clients, 50, interval));
    }
    fmt::print("half load: direct p50 {:.3f} ms p99 {:.3f} ms, node p50 {:.3f} ms p99 {:.3f} ms, {} failures\n",
               quantile(direct.firstToken, 0.5),
               quantile(direct.firstToken, 0.99),
               quantile(through.firstToken, 0.5),
               quantile(through.firstToken, 0.99),
               direct.failures + through.failures);
    fmt::print("{:<34} {:>10.3f} ms\n", "added latency p50", quantile(through.firstToken, 0.5) - quantile(direct.firstToken, 0.5));
    printTarget("added latency p99", quantile(through.firstToken, 0.99) - quantile(direct.firstToken, 0.99), 2, "ms");
}

void measureGaps(PacedEngine &engine, std::uint16_t node)
{
    constexpr int clients = 50;
    engine.pace.tokens = 100;
    engine.pace.gap = 10;
    Samples direct;
    Samples through;
    double directSeconds = 0;
    double throughSeconds = 0;
    for (int phase = 0; phase < 4; ++phase) {
        auto before = processSeconds();
        direct.add(runClients(engine.port(), clients, 1, std::chrono::microseconds(0)));
        auto between = processSeconds();
        through.add(runClients(node, clients, 1, std::chrono::microseconds(0)));
        throughSeconds += processSeconds() - between;
        directSeconds += between - before;
    }
    fmt::print("gaps of 10 ms: direct p99 {:.3f} ms, node p99 {:.3f} ms, {} failures\n",
               quantile(direct.gaps, 0.99),
               quantile(through.gaps, 0.99),
               direct.failures + through.failures);
    printTarget("added inter-token gap p99", quantile(through.gaps, 0.99) - quantile(direct.gaps, 0.99), 1, "ms");
    auto perThousand = (throughSeconds - directSeconds) * 1e6 / static_cast<double>(through.tokens);
    fmt::print("{:<34} {:>10.2f} ms (process CPU, node run minus direct run)\n", "CPU per 1,000 relayed tokens", perThousand);
}

/** Opens 500 streams and returns the resident memory in the middle of them. */
double memoryWithStreams(std::uint16_t port, Samples &samples)
{
    constexpr int streams = 500;
    std::thread clients([&] { samples = runClients(port, streams, 1, std::chrono::microseconds(0)); });
    std::this_thread::sleep_for(std::chrono::seconds(4));
    auto memory = residentKibibytes();
    clients.join();
    return memory;
}

void measureMemory(PacedEngine &engine, std::uint16_t node)
{
    engine.pace.tokens = 30;
    engine.pace.gap = 200;
    Samples direct;
    Samples through;
    auto directMemory = memoryWithStreams(engine.port(), direct);
    auto nodeMemory = memoryWithStreams(node, through);
    fmt::print("500 streams at once: {} of 500 whole through the node, {} of 500 direct\n", 500 - through.failures, 500 - direct.failures);
    // The direct run has touched the memory of the clients and the engine, which the second run uses again.
    printTarget("memory per open stream", (nodeMemory - directMemory) / 500, 64, "KiB");
}

}

int main()
{
    PacedEngine engine;
    ServerFixture node("127.0.0.1:" + std::to_string(engine.port()));
    node.settings.maximumThreads = 600;
    node.start();
    measureLatency(engine, node.server->port());
    measureGaps(engine, node.server->port());
    measureMemory(engine, node.server->port());
    return 0;
}
