#include <policy/Campaign.h>
#include <policy/Cost.h>
#include <policy/Plots.h>
#include <policy/Report.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <stdexcept>

using namespace Lovageward::Bench;

namespace {

constexpr double percent = 100;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("lovageward-bench-policy", "Compares placement policies over fake engines with the same arrivals.");
    auto add = options.add_options();
    add("seeds", "Runs per case and policy", cxxopts::value<std::size_t>()->default_value("10"));
    add("jobs", "Threads", cxxopts::value<std::size_t>()->default_value("4"));
    add("loads", "Loads in percent of the capacity", cxxopts::value<std::vector<int>>()->default_value("70,90,100,120"));
    add("cases", "Disturbances, or all", cxxopts::value<std::vector<std::string>>()->default_value("all"));
    add("deployment", "kavach, evcil-kare or both", cxxopts::value<std::string>()->default_value("both"));
    add("policy", "Policy; may be given several times", cxxopts::value<std::vector<std::string>>());
    add("json", "Print JSON");
    add("plots", "Write an SVG per measure into the directory", cxxopts::value<std::string>());
    add("cost", "Measure the cost of decisions instead");
    add("help", "Show this help");
    return options;
}

std::vector<Disturbance> parseDisturbances(const std::vector<std::string> &names)
{
    std::vector<Disturbance> chosen;
    for (auto disturbance : allDisturbances()) {
        auto isNamed = [disturbance](const std::string &name) { return name == "all" || name == nameOf(disturbance); };
        if (std::ranges::any_of(names, isNamed)) {
            chosen.push_back(disturbance);
        }
    }
    return chosen;
}

Plan makePlan(const cxxopts::ParseResult &arguments)
{
    Plan plan;
    auto deployment = arguments["deployment"].as<std::string>();
    if (deployment != "evcil-kare") {
        plan.deployments.push_back(kavach());
    }
    if (deployment != "kavach") {
        plan.deployments.push_back(evcilKare());
    }
    plan.disturbances = parseDisturbances(arguments["cases"].as<std::vector<std::string>>());
    for (auto load : arguments["loads"].as<std::vector<int>>()) {
        plan.loads.push_back(load / percent);
    }
    plan.policies = arguments.count("policy") > 0 ? arguments["policy"].as<std::vector<std::string>>() : allPolicies();
    plan.seeds = arguments["seeds"].as<std::size_t>();
    plan.jobs = arguments["jobs"].as<std::size_t>();
    return plan;
}

int run(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("cost") > 0) {
        std::cout << measureCosts();
        return 0;
    }
    auto results = runCampaign(makePlan(arguments));
    std::cout << (arguments.count("json") > 0 ? formatJsonReport(results) : formatTextReport(results));
    if (arguments.count("plots") > 0) {
        writePlots(results, arguments["plots"].as<std::string>());
    }
    return 0;
}

}

int main(int argc, char **argv)
{
    auto options = makeOptions();
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const std::exception &error) {
        std::cerr << "bench: " << error.what() << "\n";
        return 2;
    }
}
