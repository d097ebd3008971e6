#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

namespace Lovageward {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** Parses "debug", "info", "warning" or "error". Throws Error(InvalidSettings) otherwise. */
LogLevel parseLogLevel(std::string_view text);

/** Receives finished log lines. Implementations are safe to call from several threads. */
class LogSink
{
public:
    virtual ~LogSink() = default;
    virtual void write(LogLevel level, const std::string &line) = 0;
};

/** Writes lines at or above a level to standard error. */
class StandardErrorSink final : public LogSink
{
public:
    explicit StandardErrorSink(LogLevel threshold) : threshold(threshold)
    {
    }

    void write(LogLevel level, const std::string &line) override;

private:
    LogLevel threshold;
};

/** Log of one part; every line starts with the part's prefix, for example "claims: ". */
class Logger
{
public:
    Logger(LogSink &sink, std::string part) : sink(sink), part(std::move(part))
    {
    }

    template<typename... Arguments>
    void log(LogLevel level, fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        this->sink.write(level, this->part + ": " + fmt::format(format, std::forward<Arguments>(arguments)...));
    }

    template<typename... Arguments>
    void debug(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        this->log(LogLevel::Debug, format, std::forward<Arguments>(arguments)...);
    }

    template<typename... Arguments>
    void info(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        this->log(LogLevel::Info, format, std::forward<Arguments>(arguments)...);
    }

    template<typename... Arguments>
    void warning(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        this->log(LogLevel::Warning, format, std::forward<Arguments>(arguments)...);
    }

    template<typename... Arguments>
    void error(fmt::format_string<Arguments...> format, Arguments &&...arguments) const
    {
        this->log(LogLevel::Error, format, std::forward<Arguments>(arguments)...);
    }

private:
    LogSink &sink;
    std::string part;
};

}
