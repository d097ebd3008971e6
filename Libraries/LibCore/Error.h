#pragma once

#include <LibCore/ResultCode.h>
#include <LibCore/Time.h>

#include <stdexcept>
#include <string>

namespace Lovageward {

/** The exception of the whole system: a numbered code, what is known about the run, and a message for people. */
class Error : public std::runtime_error
{
public:
    Error(ResultCode code, RunState runState, const std::string &message) : std::runtime_error(message), resultCode(code), state(runState)
    {
    }

    /** A refusal that tells the caller when to come back. */
    Error(ResultCode code, RunState runState, const std::string &message, Duration retryAfter)
        : std::runtime_error(message), resultCode(code), state(runState), retryDelay(retryAfter)
    {
    }

    ResultCode code() const
    {
        return this->resultCode;
    }

    RunState runState() const
    {
        return this->state;
    }

    /** Time after which a retry makes sense; zero if none is advised. */
    Duration retryAfter() const
    {
        return this->retryDelay;
    }

private:
    ResultCode resultCode;
    RunState state;
    Duration retryDelay = Duration(0);
};

}
