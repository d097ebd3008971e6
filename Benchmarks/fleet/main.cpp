// Runs nodes as processes on loopback against stand-ins and measures how changes, drains, failures and outages show.

#include "CallerLoad.h"
#include "Fleet.h"

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

void pause(Duration time)
{
    std::this_thread::sleep_for(time);
}

/** Waits until the condition holds; returns the time it took, or the limit. */
double timeUntil(const Lovageward::Fleet::Fleet &fleet, Duration limit, const std::function<bool()> &condition)
{
    auto start = fleet.clock.now();
    while (!condition() && fleet.clock.now() < start + limit) {
        pause(milliseconds(5));
    }
    return secondsBetween(start, fleet.clock.now());
}

void row(const std::string &name, const std::string &value, const std::string &target = "")
{
    fmt::print("| {:<52} | {:>26} | {:<22} |\n", name, value, target);
    std::fflush(stdout);
}

/** Sums of what all nodes and the log have used so far. */
struct Usage
{
    TimePoint at;
    double cpuSeconds = 0;
    double largestResident = 0;
    double peerBytes = 0;
    double appends = 0;
    double logReadBytes = 0;
};

Usage usageOf(const Lovageward::Fleet::Fleet &fleet)
{
    Usage usage;
    usage.at = fleet.clock.now();
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        auto process = fleet.nodes[index].process->usage();
        usage.cpuSeconds += process.cpuSeconds;
        usage.largestResident = std::max(usage.largestResident, process.residentMegabytes);
        usage.peerBytes += fleet.metric(index, R"(lovageward_peer_bytes_total{direction="sent")");
    }
    usage.appends = fleet.stat(fleet.platform->port(), "/stats", "appends");
    usage.logReadBytes = fleet.stat(fleet.platform->port(), "/stats", "readBytes");
    return usage;
}

void reportUsage(const std::string &phase, const Usage &before, const Usage &after, std::size_t nodes, const std::string &cpuTarget)
{
    auto time = secondsBetween(before.at, after.at);
    auto perNode = time * static_cast<double>(nodes);
    row(phase + ": CPU per node, % of a core", fmt::format("{:.2f}", 100 * (after.cpuSeconds - before.cpuSeconds) / perNode), cpuTarget);
    row(phase + ": peer bytes sent per node and s", fmt::format("{:.0f}", (after.peerBytes - before.peerBytes) / perNode), cpuTarget.empty() ? "" : "<= 5000");
    row(phase + ": log bytes read per node and s", fmt::format("{:.0f}", (after.logReadBytes - before.logReadBytes) / perNode), "");
    row(phase + ": appends/s on the log", fmt::format("{:.1f}", (after.appends - before.appends) / time), "<= 300");
    row(phase + ": largest resident memory, MB", fmt::format("{:.0f}", after.largestResident), cpuTarget.empty() ? "" : "<= 128");
}

/** Number in an answer of the administration API; 0 if absent. */
std::uint64_t numberIn(const std::string &json, const std::string &field)
{
    auto position = json.find("\"" + field + "\":");
    return position == std::string::npos ? 0 : std::strtoull(json.c_str() + position + field.size() + 3, nullptr, 10);
}

std::uint64_t versionOf(const Lovageward::Fleet::Fleet &fleet, const std::string &path)
{
    std::string answer;
    fleet.administer(0, "GET", path, "", answer);
    return numberIn(answer, "version");
}

bool isInForceEverywhere(const Lovageward::Fleet::Fleet &fleet, std::uint64_t offset)
{
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        if (fleet.metric(index, "lovageward_config_applied_offset") < static_cast<double>(offset)) {
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
        auto version = versionOf(fleet, "models/kare-13b");
        std::string answer;
        auto start = fleet.clock.now();
        auto node = static_cast<std::size_t>(change) % fleet.nodes.size();
        auto path = fmt::format("models/kare-13b?basedOn={}", version);
        auto status = fleet.administer(node, "PUT", path, fmt::format(R"({{"version":"{}"}})", change + 2), answer);
        if (status != 200) {
            row("change refused", answer.substr(0, 26));
            continue;
        }
        auto offset = numberIn(answer, "version");
        timeUntil(fleet, seconds(20), [&] { return isInForceEverywhere(fleet, offset); });
        times.push_back(secondsBetween(start, fleet.clock.now()));
    }
    std::sort(times.begin(), times.end());
    row("change in force on all nodes, s, median", fmt::format("{:.3f}", times.at(times.size() / 2)), "<= 9");
    row("change in force on all nodes, s, largest", fmt::format("{:.3f}", times.back()), "<= 9");
}

double startsIn(const Lovageward::Fleet::Fleet &fleet, const std::string &failureDomain)
{
    double starts = 0;
    for (const auto &upstream : fleet.upstreams) {
        if (upstream.failureDomain == failureDomain && upstream.pool == "kare-writer") {
            starts += fleet.stat(upstream.process->port(), "/load", "started");
        }
    }
    return starts;
}

void measureDrain(const Lovageward::Fleet::Fleet &fleet)
{
    std::string answer;
    auto before = startsIn(fleet, "marmara-a");
    auto status = fleet.administer(0, "PUT", "drains/marmara-a?basedOn=0", R"({"reason":"bench"})", answer);
    auto accepted = fleet.clock.now();
    auto version = numberIn(answer, "version");
    auto lastStart = accepted;
    auto starts = startsIn(fleet, "marmara-a");
    while (status == 200 && fleet.clock.now() < accepted + seconds(8)) {
        auto now = startsIn(fleet, "marmara-a");
        if (now > starts) {
            lastStart = fleet.clock.now();
            starts = now;
        }
        pause(milliseconds(20));
    }
    row("drain: starts in the domain before it", fmt::format("{:.0f}", before));
    row("drain: last new work after acceptance, s", status == 200 ? fmt::format("{:.2f}", secondsBetween(accepted, lastStart)) : answer.substr(0, 26), "<= 5");
    fleet.administer(0, "DELETE", fmt::format("drains/marmara-a?basedOn={}", version), "", answer);
    auto back = timeUntil(fleet, seconds(30), [&] { return startsIn(fleet, "marmara-a") > starts; });
    row("drain: first new work after the return, s", fmt::format("{:.2f}", back));
}

void measureFaults(Lovageward::Fleet::Fleet &fleet, const CallerLoad &load)
{
    constexpr std::size_t victim = 3;
    auto doneBefore = load.bookings.done.load();
    auto wholeBefore = load.generations.whole.load();
    auto start = fleet.clock.now();
    fleet.nodes[victim].process->kill();
    fleet.put(fleet.platform->port(), "/faults", R"({"outageMs":20000})");
    pause(seconds(2));
    fleet.startNode(victim);
    pause(seconds(18));
    row("log down 20 s, node killed: bookings done meanwhile", fmt::format("{}", load.bookings.done.load() - doneBefore));
    row("log down 20 s, node killed: generations whole", fmt::format("{}", load.generations.whole.load() - wholeBefore));
    auto recovered = timeUntil(fleet, seconds(30), [&] { return fleet.isReady(victim); });
    row("restarted node ready after the log's return, s", fmt::format("{:.1f}", recovered));
    auto doneAtReturn = load.bookings.done.load();
    auto first = timeUntil(fleet, seconds(30), [&] { return load.bookings.done.load() > doneAtReturn + 20; });
    row("20 more bookings after that, s", fmt::format("{:.1f}", first));
    row("whole phase, s", fmt::format("{:.1f}", secondsBetween(start, fleet.clock.now())));
}

std::uint64_t reportCallers(const CallerLoad &load)
{
    row("generations whole", fmt::format("{}", load.generations.whole.load()));
    row("generations whole after a reconnect of the caller", fmt::format("{}", load.generations.resumed.load()));
    row("connections cut by callers on purpose", fmt::format("{}", load.generations.cut.load()));
    row("generations refused", fmt::format("{}", load.generations.refused.load()));
    for (const auto &[name, count] : load.refusals()) {
        row("    answers " + name, fmt::format("{}", count));
    }
    row("generations incomplete", fmt::format("{}", load.generations.incomplete.load()));
    row("tokens twice, out of order or of another generation", fmt::format("{}", load.generations.wrongTokens.load()), "0");
    row("bookings done", fmt::format("{}", load.bookings.done.load()));
    row("answers not_run (retried with the same key)", fmt::format("{}", load.bookings.notRunAnswers.load()));
    row("bookings finally not_run", fmt::format("{}", load.bookings.finallyNotRun.load()));
    row("bookings unknown", fmt::format("{}", load.bookings.unknown.load()));
    auto broken = load.countBrokenBookings();
    row("bookings run twice, or run though not_run or vice versa", fmt::format("{}", broken), "0");
    return broken + load.generations.wrongTokens.load();
}

/** One stream per node, then SIGTERM to all nodes; every stream must end whole without a reconnect. */
std::uint64_t measureShutdown(Lovageward::Fleet::Fleet &fleet)
{
    CallerLoad load(fleet, 4 * fleet.nodes.size(), 0, 150, 0);
    pause(milliseconds(1500));
    std::vector<std::thread> stops;
    std::thread callers([&] { load.stop(); });
    pause(milliseconds(200));
    for (auto &node : fleet.nodes) {
        stops.emplace_back([&node] { node.process->terminate(); });
    }
    callers.join();
    for (auto &stop : stops) {
        stop.join();
    }
    auto cut = load.generations.resumed.load() + load.generations.incomplete.load() + load.generations.wrongTokens.load();
    row("shutdown of all nodes: streams whole", fmt::format("{}", load.generations.whole.load()));
    row("shutdown of all nodes: streams cut", fmt::format("{}", cut), "0");
    return cut;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("lovageward-bench-fleet", "Runs 8 nodes as processes on loopback against stand-ins.");
    auto add = options.add_options();
    add("build", "folder with the built programs", cxxopts::value<std::string>()->default_value("Build"));
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
        row("measure", "value", "target");
        row("---", "---", "---");
        row("all nodes started, configured and ready, s", fmt::format("{:.1f}", secondsBetween(start, fleet.clock.now())));
        pause(seconds(8));
        measureChanges(fleet);
        auto idle = usageOf(fleet);
        pause(seconds(10));
        reportUsage("idle", idle, usageOf(fleet), fleet.nodes.size(), "<= 3.1");
        std::uint64_t broken = 0;
        {
            CallerLoad load(fleet, 48, 64, 50, 7);
            pause(seconds(3));
            auto before = usageOf(fleet);
            auto doneBefore = load.bookings.done.load();
            pause(seconds(10));
            auto after = usageOf(fleet);
            auto time = secondsBetween(before.at, after.at);
            row("load: bookings/s", fmt::format("{:.0f}", static_cast<double>(load.bookings.done.load() - doneBefore) / time));
            reportUsage("load", before, after, fleet.nodes.size(), "");
            measureDrain(fleet);
            measureFaults(fleet, load);
            load.stop();
            broken = reportCallers(load);
        }
        broken += measureShutdown(fleet);
        return broken == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "fleet: {}\n", error.what());
        return 2;
    }
}
