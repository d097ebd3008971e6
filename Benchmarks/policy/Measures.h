#pragma once

#include <string>
#include <vector>

namespace Lovageward::Bench {

/** Measures of one run. */
struct Measures
{
    /** Total time in seconds by which gaps exceed 250 ms, per 1,000 generations. */
    double stallSeconds = 0;
    /** Preemptions per 1,000 generations. */
    double preemptions = 0;
    /** Quantiles of the gap between tokens, in seconds. */
    double gapP95 = 0;
    double gapP99 = 0;
    double gapP999 = 0;
    /** Time from arrival to first token in seconds, including the time in the queue. */
    double firstTokenP95 = 0;
    /** Share of the generations that completed within their target. */
    double goodput = 0;
    /** Share of the generations that were refused or cancelled by the caller before the first token. */
    double refusals = 0;
    /** Jain's index over the teams' goodput shares. */
    double fairness = 0;
    /** Share of the service calls that completed within their target. */
    double serviceGoodput = 0;
    /** Generations per second that completed within their target, while the domain was out and in the 100 s after its return. */
    double goodWhileOut = 0;
    double goodOnReturn = 0;
    /** Mean share of KV memory in use on the engines. */
    double memoryUsed = 0;
    /** Share of the teams with requests on the engine that crashed. */
    double blastRadius = 0;
};

/** Key and title of a measure in tables and plots. */
struct MeasureField
{
    const char *key;
    const char *title;
    double Measures::*value;
};

const std::vector<MeasureField> &measureFields();

}
