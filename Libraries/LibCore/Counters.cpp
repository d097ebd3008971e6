#include <LibCore/Counters.h>

#include <fmt/format.h>

#include <iterator>

namespace Lovageward {

Counter &Counters::counter(const std::string &series)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &slot = this->counters[series];
    if (!slot) {
        slot = std::make_unique<Counter>();
    }
    return *slot;
}

std::string Counters::exposition() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::string text;
    for (const auto &[series, counter] : this->counters) {
        fmt::format_to(std::back_inserter(text), "{} {}\n", series, counter->value());
    }
    return text;
}

}
