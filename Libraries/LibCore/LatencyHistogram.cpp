#include <LibCore/LatencyHistogram.h>

#include <fmt/format.h>

#include <array>

namespace Lovageward {

namespace {

/** Upper bounds in milliseconds: from a call inside a failure domain up to the longest streams. */
constexpr auto boundsInMilliseconds = std::to_array<int>({ 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000, 10'000, 40'000 });

std::string labelled(const std::string &labels, const std::string &further)
{
    auto separator = labels.empty() || further.empty() ? "" : ",";
    return labels.empty() && further.empty() ? std::string() : fmt::format("{{{}{}{}}}", labels, separator, further);
}

}

LatencyHistogram::LatencyHistogram(Counters &counters, const std::string &name, const std::string &labels)
    : all(counters.counter(name + "_count" + labelled(labels, ""))), sumMilliseconds(counters.counter(name + "_sum" + labelled(labels, "")))
{
    for (auto bound : boundsInMilliseconds) {
        auto series = name + "_bucket" + labelled(labels, fmt::format("le=\"{}\"", bound));
        this->buckets.push_back(Bucket { milliseconds(bound), &counters.counter(series) });
    }
    this->buckets.push_back(Bucket { Duration::max(), &counters.counter(name + "_bucket" + labelled(labels, "le=\"+Inf\"")) });
}

void LatencyHistogram::observe(Duration time)
{
    for (auto &bucket : this->buckets) {
        if (time <= bucket.upperBound) {
            bucket.counter->add();
        }
    }
    this->all.add();
    this->sumMilliseconds.add(std::chrono::duration_cast<milliseconds>(time).count());
}

}
