#include <LibCore/Logger.h>

#include <LibCore/Error.h>

#include <cstdio>

namespace Lovageward {

LogLevel parseLogLevel(std::string_view text)
{
    if (text == "debug") {
        return LogLevel::Debug;
    }
    if (text == "info") {
        return LogLevel::Info;
    }
    if (text == "warning") {
        return LogLevel::Warning;
    }
    if (text == "error") {
        return LogLevel::Error;
    }
    throw Error(ResultCode::InvalidSettings, RunState::NotRun, fmt::format("log level '{}' is not one of debug, info, warning, error", text));
}

void StandardErrorSink::write(LogLevel level, const std::string &line)
{
    if (level < this->threshold) {
        return;
    }
    // One call per line keeps lines of several threads apart.
    fmt::print(stderr, "{}\n", line);
}

}
