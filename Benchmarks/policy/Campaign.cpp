#include <policy/Campaign.h>
#include <policy/Run.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

namespace Lovageward::Bench {

namespace {

void runParallel(const std::vector<std::function<void()>> &tasks, std::size_t jobs)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (std::size_t job = 0; job < jobs; ++job) {
        threads.emplace_back([&] {
            for (auto index = next++; index < tasks.size(); index = next++) {
                tasks[index]();
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

void addTasks(std::vector<std::function<void()>> &tasks, PolicyResult &policyResult, const Case &setup, double capacity, std::size_t seeds)
{
    policyResult.runs.resize(seeds);
    for (std::size_t seed = 0; seed < seeds; ++seed) {
        auto seeded = setup;
        seeded.seed = seed + 1;
        auto *target = &policyResult.runs[seed];
        tasks.emplace_back([seeded, target, capacity, policy = policyResult.policy] { *target = Run(seeded, policy, capacity).execute(); });
    }
}

}

Quartiles PolicyResult::quartiles(double Measures::*field) const
{
    std::vector<double> values;
    for (const auto &run : this->runs) {
        values.push_back(run.*field);
    }
    if (values.empty()) {
        return {};
    }
    std::ranges::sort(values);
    auto at = [&values](double share) {
        auto position = share * static_cast<double>(values.size() - 1);
        auto below = static_cast<std::size_t>(position);
        auto above = std::min(below + 1, values.size() - 1);
        return values[below] + (values[above] - values[below]) * (position - static_cast<double>(below));
    };
    return { at(0.25), at(0.5), at(0.75) };
}

const PolicyResult *CaseResult::findPolicy(const std::string &policy) const
{
    auto found = std::ranges::find(this->policies, policy, &PolicyResult::policy);
    return found == this->policies.end() ? nullptr : &*found;
}

std::vector<CaseResult> runCampaign(const Plan &plan)
{
    std::vector<CaseResult> results;
    results.reserve(plan.deployments.size() * plan.disturbances.size() * plan.loads.size());
    std::vector<std::function<void()>> tasks;
    for (const auto &deployment : plan.deployments) {
        auto capacity = computeCapacity(deployment);
        for (auto disturbance : plan.disturbances) {
            for (auto load : plan.loads) {
                auto &result = results.emplace_back();
                result.deployment = deployment.name;
                result.disturbance = disturbance;
                result.load = load;
                Case setup { .deployment = &deployment, .disturbance = disturbance, .load = load };
                result.policies.resize(plan.policies.size());
                for (std::size_t index = 0; index < plan.policies.size(); ++index) {
                    result.policies[index].policy = plan.policies[index];
                    addTasks(tasks, result.policies[index], setup, capacity, plan.seeds);
                }
                if (disturbance == Disturbance::DomainDrained) {
                    setup.disturbance = Disturbance::DomainMissing;
                    result.reference.policy = ownPolicy;
                    addTasks(tasks, result.reference, setup, capacity, plan.seeds);
                }
            }
        }
    }
    runParallel(tasks, plan.jobs);
    return results;
}

}
