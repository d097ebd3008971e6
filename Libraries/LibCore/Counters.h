#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Lovageward {

/** One metric value. Counters only grow; gauges are set. */
class Counter
{
public:
    void add(std::int64_t amount = 1)
    {
        this->count.fetch_add(amount, std::memory_order_relaxed);
    }

    void set(std::int64_t amount)
    {
        this->count.store(amount, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return this->count.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> count = 0;
};

/**
 * Registry of the node's metrics. Look a counter up once and keep the reference; it stays valid for the registry's life.
 * Lock order: the registry's mutex is the innermost lock of the process.
 */
class Counters
{
public:
    /** Counter for a Prometheus series, for example `lovageward_refusals_total{code="QueueFull"}`. */
    Counter &counter(const std::string &series);

    /** All series in Prometheus text format, sorted by name. */
    std::string exposition() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>> counters;
};

}
