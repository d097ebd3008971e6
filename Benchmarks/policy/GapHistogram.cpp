#include <policy/GapHistogram.h>

#include <algorithm>
#include <cmath>

namespace Lovageward::Bench {

namespace {

constexpr double smallestMicros = 1000;

}

void GapHistogram::add(Micros time, std::uint64_t count)
{
    auto scaled = std::max(1.0, static_cast<double>(time) / smallestMicros);
    auto bucket = static_cast<std::size_t>(std::log2(scaled) * bucketsPerDoubling);
    this->counts[std::min(bucket, bucketCount - 1)] += count;
    this->total += count;
}

void GapHistogram::add(const GapHistogram &other)
{
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        this->counts[bucket] += other.counts[bucket];
    }
    this->total += other.total;
}

double GapHistogram::quantile(double share) const
{
    auto wanted = share * static_cast<double>(this->total);
    double seen = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        seen += static_cast<double>(this->counts[bucket]);
        if (seen >= wanted && this->total > 0) {
            return std::exp2((static_cast<double>(bucket) + 0.5) / bucketsPerDoubling) * smallestMicros / oneSecond;
        }
    }
    return 0;
}

}
