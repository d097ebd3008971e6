#pragma once

#include <LibCore/Counters.h>
#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace Lovageward {

/** Latency histogram in Prometheus form, kept as cumulative counters of a registry. Thread-safe. */
class LatencyHistogram
{
public:
    /** `name` is the metric without suffix, `labels` as in `route="long"` or empty. */
    LatencyHistogram(Counters &counters, const std::string &name, const std::string &labels);

    void observe(Duration time);

private:
    struct Bucket
    {
        Duration upperBound;
        Counter *counter;
    };

    std::vector<Bucket> buckets;
    Counter &all;
    Counter &sumMilliseconds;
};

}
