#pragma once

#include <policy/Case.h>
#include <policy/Measures.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Lovageward::Bench {

/** Cases and policies to compare. */
struct Plan
{
    std::vector<Deployment> deployments;
    std::vector<Disturbance> disturbances;
    std::vector<double> loads;
    std::vector<std::string> policies;
    /** Runs per case and policy, with seeds from 1 on. */
    std::size_t seeds = 10;
    /** Number of threads. */
    std::size_t jobs = 4;
};

/** Median and quartiles of a measure over the seeds. */
struct Quartiles
{
    double lower = 0;
    double median = 0;
    double upper = 0;
};

/** Runs of one policy in one case, one per seed. */
struct PolicyResult
{
    std::string policy;
    std::vector<Measures> runs;

    Quartiles quartiles(double Measures::*field) const;
};

/** Results of all policies in one case, with the same arrivals. */
struct CaseResult
{
    std::string deployment;
    Disturbance disturbance = Disturbance::Calm;
    double load = 1;
    std::vector<PolicyResult> policies;
    /** Runs of the policy under test without the drained domain's engines. Empty except for Disturbance::DomainDrained. */
    PolicyResult reference;

    const PolicyResult *findPolicy(const std::string &policy) const;
};

/** Runs the plan on several threads. The results don't depend on the number of threads. */
std::vector<CaseResult> runCampaign(const Plan &plan);

}
