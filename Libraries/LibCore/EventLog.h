#pragma once

#include <LibCore/Clock.h>
#include <LibCore/TokenBucket.h>

#include <concepts>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace Lovageward {

/** A named value of a log line. */
class LogField
{
public:
    LogField(std::string_view name, std::string_view text);
    LogField(std::string_view name, const char *text) : LogField(name, std::string_view(text))
    {
    }
    LogField(std::string_view name, const std::string &text) : LogField(name, std::string_view(text))
    {
    }
    LogField(std::string_view name, double number);
    LogField(std::string_view name, bool flag);
    template<std::integral Number>
    LogField(std::string_view name, Number number) : LogField(name, static_cast<std::int64_t>(number), 0)
    {
    }

    const std::string &rendered() const
    {
        return this->json;
    }

private:
    LogField(std::string_view name, std::int64_t number, int /*tag*/);

    std::string json;
};

/** Receives structured lines: one for each decision that touches a request or changes what the process believes. */
class EventLog
{
public:
    virtual ~EventLog() = default;

    /** Never blocks. `event` is a fixed name; the values that decided, their age and the outcome are fields. */
    virtual void write(std::string_view event, std::initializer_list<LogField> fields) = 0;
};

/** Drops all lines; for tests and for parts that run without a log. */
class NullEventLog final : public EventLog
{
public:
    void write(std::string_view /*event*/, std::initializer_list<LogField> /*fields*/) override
    {
    }
};

/**
 * Writes JSON lines to a file descriptor from a thread of its own. Lines beyond the rate or the queue are dropped and counted in a later line, so
 * neither load nor a reader that has stopped slows a request down. Thread-safe; its mutex is a leaf lock.
 */
class JsonEventLog final : public EventLog
{
public:
    /** The descriptor stays open. */
    JsonEventLog(const Clock &clock, int descriptor, double linesPerSecond);

    /** Writes what is queued, but waits for a blocked reader only for a short time. */
    ~JsonEventLog() override;

    JsonEventLog(const JsonEventLog &) = delete;
    JsonEventLog &operator=(const JsonEventLog &) = delete;

    void write(std::string_view event, std::initializer_list<LogField> fields) override;

    /** Writes what is queued, for a process that ends without destroying the log. */
    void flush();

private:
    void run();
    /** Takes all queued lines; needs the mutex. */
    std::string takeQueue();
    void writeOut(std::string_view bytes, TimePoint deadline) const;

    const Clock &clock;
    int descriptor;
    TokenBucket rate;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> queue;
    std::uint64_t dropped = 0;
    bool isStopping = false;
    std::thread writer;
};

}
