#pragma once

#include <string>
#include <vector>

namespace Lovageward::Bench {

/** Result of one run. */
struct Measures
{
    /** Seconds within stalls (gaps over 250 ms, beyond these 250 ms) per 1,000 generations. */
    double stallSeconds = 0;
    /** Preemptions per 1,000 generations. */
    double preemptions = 0;
    /** Seconds between tokens. */
    double gapP95 = 0;
    double gapP99 = 0;
    double gapP999 = 0;
    /** Seconds from arrival, with the time in the queue. */
    double firstTokenP95 = 0;
    /** Share of the generations that ended whole and within their target. */
    double goodput = 0;
    /** Share of the generations that were refused, or given up before the first token. */
    double refusals = 0;
    /** Jain's index over the teams' goodput shares. */
    double fairness = 0;
    /** Share of the service calls that ended in time. */
    double serviceGoodput = 0;
    /** Generations that ended in time and whole per second, while the domain was out and 100 s after its return. */
    double goodWhileOut = 0;
    double goodOnReturn = 0;
    /** Mean share of the engines' KV memory in use. */
    double memoryUsed = 0;
    /** Share of the teams with work on the engine that was killed. */
    double blastRadius = 0;
};

/** A measure as tables and plots name it. */
struct MeasureField
{
    const char *key;
    const char *title;
    double Measures::*value;
};

const std::vector<MeasureField> &measureFields();

}
