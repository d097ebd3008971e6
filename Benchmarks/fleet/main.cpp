// Runs nodes as processes on loopback against stand-ins and measures the effects of configuration changes, drains, node failures and log outages.

#include "Fleet.h"
#include "LoadGenerator.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <functional>

using namespace Lovageward;
using namespace Lovageward::Fleet;

namespace {

double secondsBetween(TimePoint start, TimePoint end)
{
    return std::chrono::duration<double>(end - start).count();
}

void sleepFor(Duration time)
{
    std::this_thread::sleep_for(time);
}

/** Waits until the condition holds or the limit has passed. Returns the waiting time in seconds. */
double measureTimeUntil(const Lovageward::Fleet::Fleet &fleet, Duration limit, const std::function<bool()> &condition)
{
    auto start = fleet.clock.now();
    while (!condition() && fleet.clock.now() < start + limit) {
        sleepFor(milliseconds(5));
    }
    return secondsBetween(start, fleet.clock.now());
}

void printRow(const std::string &name, const std::string &value, const std::string &target = "")
{
    fmt::print("| {:<52} | {:>26} | {:<22} |\n", name, value, target);
    std::fflush(stdout);
}

/** Resources used by all nodes and the log since their start. */
struct FleetUsage
{
    TimePoint at;
    double cpuSeconds = 0;
    double largestResidentMegabytes = 0;
    double peerBytes = 0;
    double appends = 0;
    double logReadBytes = 0;
};

FleetUsage measureUsage(const Lovageward::Fleet::Fleet &fleet)
{
    FleetUsage usage;
    usage.at = fleet.clock.now();
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        auto process = fleet.nodes[index].process->readUsage();
        usage.cpuSeconds += process.cpuSeconds;
        usage.largestResidentMegabytes = std::max(usage.largestResidentMegabytes, process.residentMegabytes);
        usage.peerBytes += fleet.fetchMetricSum(index, R"(lovageward_peer_bytes_total{direction="sent")");
    }
    usage.appends = fleet.fetchNumber(fleet.platform->port(), "/stats", "appends");
    usage.logReadBytes = fleet.fetchNumber(fleet.platform->port(), "/stats", "readBytes");
    return usage;
}

void reportUsage(const std::string &phase, const FleetUsage &before, const FleetUsage &after, std::size_t nodes, const std::string &cpuTarget)
{
    auto time = secondsBetween(before.at, after.at);
    auto perNode = time * static_cast<double>(nodes);
    printRow(phase + ": CPU per node, % of a core", fmt::format("{:.2f}", 100 * (after.cpuSeconds - before.cpuSeconds) / perNode), cpuTarget);
    printRow(
        phase + ": peer bytes sent per node and s", fmt::format("{:.0f}", (after.peerBytes - before.peerBytes) / perNode), cpuTarget.empty() ? "" : "<= 5000");
    printRow(phase + ": log bytes read per node and s", fmt::format("{:.0f}", (after.logReadBytes - before.logReadBytes) / perNode), "");
    printRow(phase + ": appends/s on the log", fmt::format("{:.1f}", (after.appends - before.appends) / time), "<= 300");
    printRow(phase + ": largest resident memory, MB", fmt::format("{:.0f}", after.largestResidentMegabytes), cpuTarget.empty() ? "" : "<= 128");
}

/** Returns a number in a response of the administration API; 0 if it is absent. */
std::uint64_t parseNumber(const std::string &json, const std::string &field)
{
    auto position = json.find("\"" + field + "\":");
    return position == std::string::npos ? 0 : std::strtoull(json.c_str() + position + field.size() + 3, nullptr, 10);
}

std::uint64_t fetchVersion(const Lovageward::Fleet::Fleet &fleet, const std::string &path)
{
    std::string answer;
    fleet.sendAdminRequest(0, "GET", path, "", answer);
    return parseNumber(answer, "version");
}

bool isAppliedOnAllNodes(const Lovageward::Fleet::Fleet &fleet, std::uint64_t offset)
{
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        if (fleet.fetchMetricSum(index, "lovageward_config_applied_offset") < static_cast<double>(offset)) {
            return false;
        }
    }
    return true;
}

void measureChanges(const Lovageward::Fleet::Fleet &fleet)
{
    constexpr int changes = 20;
    std::vector<double> times;
    for (int change = 0; change < changes; ++change) {
        auto version = fetchVersion(fleet, "models/kare-13b");
        std::string answer;
        auto start = fleet.clock.now();
        auto node = static_cast<std::size_t>(change) % fleet.nodes.size();
        auto path = fmt::format("models/kare-13b?basedOn={}", version);
        auto status = fleet.sendAdminRequest(node, "PUT", path, fmt::format(R"({{"version":"{}"}})", change + 2), answer);
        if (status != 200) {
            printRow("change refused", answer.substr(0, 26));
            continue;
        }
        auto offset = parseNumber(answer, "version");
        measureTimeUntil(fleet, seconds(20), [&] { return isAppliedOnAllNodes(fleet, offset); });
        times.push_back(secondsBetween(start, fleet.clock.now()));
    }
    std::sort(times.begin(), times.end());
    printRow("change in force on all nodes, s, median", fmt::format("{:.3f}", times.at(times.size() / 2)), "<= 9");
    printRow("change in force on all nodes, s, largest", fmt::format("{:.3f}", times.back()), "<= 9");
}

double countStartedGenerations(const Lovageward::Fleet::Fleet &fleet, const std::string &failureDomain)
{
    double starts = 0;
    for (const auto &upstream : fleet.upstreams) {
        if (upstream.failureDomain == failureDomain && upstream.pool == "kare-writer") {
            starts += fleet.fetchNumber(upstream.process->port(), "/load", "started");
        }
    }
    return starts;
}

void measureDrain(const Lovageward::Fleet::Fleet &fleet)
{
    std::string answer;
    auto before = countStartedGenerations(fleet, "marmara-a");
    auto status = fleet.sendAdminRequest(0, "PUT", "drains/marmara-a?basedOn=0", R"({"reason":"bench"})", answer);
    auto accepted = fleet.clock.now();
    auto version = parseNumber(answer, "version");
    auto lastStart = accepted;
    auto starts = countStartedGenerations(fleet, "marmara-a");
    while (status == 200 && fleet.clock.now() < accepted + seconds(8)) {
        auto now = countStartedGenerations(fleet, "marmara-a");
        if (now > starts) {
            lastStart = fleet.clock.now();
            starts = now;
        }
        sleepFor(milliseconds(20));
    }
    printRow("drain: starts in the domain before it", fmt::format("{:.0f}", before));
    printRow(
        "drain: last new work after acceptance, s", status == 200 ? fmt::format("{:.2f}", secondsBetween(accepted, lastStart)) : answer.substr(0, 26), "<= 5");
    fleet.sendAdminRequest(0, "DELETE", fmt::format("drains/marmara-a?basedOn={}", version), "", answer);
    auto back = measureTimeUntil(fleet, seconds(30), [&] { return countStartedGenerations(fleet, "marmara-a") > starts; });
    printRow("drain: first new work after the return, s", fmt::format("{:.2f}", back));
}

void measureFaults(Lovageward::Fleet::Fleet &fleet, const LoadGenerator &load)
{
    constexpr std::size_t restartedNode = 3;
    auto doneBefore = load.bookings.done.load();
    auto completeBefore = load.generations.complete.load();
    auto start = fleet.clock.now();
    fleet.nodes[restartedNode].process->kill();
    fleet.put(fleet.platform->port(), "/faults", R"({"outageMs":20000})");
    sleepFor(seconds(2));
    fleet.startNode(restartedNode);
    sleepFor(seconds(18));
    printRow("log down 20 s, node killed: bookings done meanwhile", fmt::format("{}", load.bookings.done.load() - doneBefore));
    printRow("log down 20 s, node killed: generations whole", fmt::format("{}", load.generations.complete.load() - completeBefore));
    auto recovered = measureTimeUntil(fleet, seconds(30), [&] { return fleet.isReady(restartedNode); });
    printRow("restarted node ready after the log's return, s", fmt::format("{:.1f}", recovered));
    auto doneAtReturn = load.bookings.done.load();
    auto first = measureTimeUntil(fleet, seconds(30), [&] { return load.bookings.done.load() > doneAtReturn + 20; });
    printRow("20 more bookings after that, s", fmt::format("{:.1f}", first));
    printRow("whole phase, s", fmt::format("{:.1f}", secondsBetween(start, fleet.clock.now())));
}

std::uint64_t reportCallers(const LoadGenerator &load)
{
    printRow("generations whole", fmt::format("{}", load.generations.complete.load()));
    printRow("generations whole after a reconnect of the caller", fmt::format("{}", load.generations.resumed.load()));
    printRow("connections cut by callers on purpose", fmt::format("{}", load.generations.disconnected.load()));
    printRow("generations refused", fmt::format("{}", load.generations.refused.load()));
    for (const auto &[name, count] : load.refusalsByCode()) {
        printRow("    answers " + name, fmt::format("{}", count));
    }
    printRow("generations incomplete", fmt::format("{}", load.generations.incomplete.load()));
    printRow("tokens twice, out of order or of another generation", fmt::format("{}", load.generations.unexpectedTokens.load()), "0");
    printRow("bookings done", fmt::format("{}", load.bookings.done.load()));
    printRow("answers not_run (retried with the same key)", fmt::format("{}", load.bookings.notRunResponses.load()));
    printRow("bookings finally not_run", fmt::format("{}", load.bookings.finallyNotRun.load()));
    printRow("bookings unknown", fmt::format("{}", load.bookings.unknown.load()));
    auto inconsistentBookings = load.countInconsistentBookings();
    printRow("bookings run twice, or run though not_run or vice versa", fmt::format("{}", inconsistentBookings), "0");
    return inconsistentBookings + load.generations.unexpectedTokens.load();
}

/** Sends SIGTERM to all nodes while each serves several streams. Every stream must complete without a reconnect. */
std::uint64_t measureShutdown(Lovageward::Fleet::Fleet &fleet)
{
    LoadGenerator load(fleet, 4 * fleet.nodes.size(), 0, 150, 0);
    sleepFor(milliseconds(1500));
    std::vector<std::thread> stops;
    std::thread callers([&] { load.stop(); });
    sleepFor(milliseconds(200));
    for (auto &node : fleet.nodes) {
        stops.emplace_back([&node] { node.process->terminate(); });
    }
    callers.join();
    for (auto &stop : stops) {
        stop.join();
    }
    auto cut = load.generations.resumed.load() + load.generations.incomplete.load() + load.generations.unexpectedTokens.load();
    printRow("shutdown of all nodes: streams whole", fmt::format("{}", load.generations.complete.load()));
    printRow("shutdown of all nodes: streams cut", fmt::format("{}", cut), "0");
    return cut;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("lovageward-bench-fleet", "Runs nodes as processes on loopback against stand-ins and measures the effects of changes and faults.");
    auto add = options.add_options();
    add("build", "directory of the built programs", cxxopts::value<std::string>()->default_value("Build"));
    add("nodes", "number of nodes", cxxopts::value<std::size_t>()->default_value("8"));
    add("first-port", "first of three ports per node", cxxopts::value<std::uint16_t>()->default_value("21000"));
    std::signal(SIGPIPE, SIG_IGN);
    try {
        auto parsed = options.parse(argc, argv);
        Lovageward::Fleet::Fleet fleet(parsed["build"].as<std::string>(), parsed["first-port"].as<std::uint16_t>(), parsed["nodes"].as<std::size_t>());
        auto start = fleet.clock.now();
        fleet.start();
        fleet.configure();
        fmt::print("{} nodes, {} upstream stand-ins, log at 300 appends/s, all on loopback.\n\n", fleet.nodes.size(), fleet.upstreams.size());
        printRow("measure", "value", "target");
        printRow("---", "---", "---");
        printRow("all nodes started, configured and ready, s", fmt::format("{:.1f}", secondsBetween(start, fleet.clock.now())));
        sleepFor(seconds(8));
        measureChanges(fleet);
        auto idle = measureUsage(fleet);
        sleepFor(seconds(10));
        reportUsage("idle", idle, measureUsage(fleet), fleet.nodes.size(), "<= 3.1");
        std::uint64_t errors = 0;
        {
            LoadGenerator load(fleet, 48, 64, 50, 7);
            sleepFor(seconds(3));
            auto before = measureUsage(fleet);
            auto doneBefore = load.bookings.done.load();
            sleepFor(seconds(10));
            auto after = measureUsage(fleet);
            auto time = secondsBetween(before.at, after.at);
            printRow("load: bookings/s", fmt::format("{:.0f}", static_cast<double>(load.bookings.done.load() - doneBefore) / time));
            reportUsage("load", before, after, fleet.nodes.size(), "");
            measureDrain(fleet);
            measureFaults(fleet, load);
            load.stop();
            errors = reportCallers(load);
        }
        errors += measureShutdown(fleet);
        return errors == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "fleet: {}\n", error.what());
        return 2;
    }
}
