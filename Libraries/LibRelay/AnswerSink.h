#pragma once

#include <LibCore/Error.h>
#include <LibRelay/EngineClient.h>

#include <string>

namespace Lovageward {

/**
 * Sends one answer to the caller. After any number of tokens exactly one of complete(), fail() and handOver() is called, or none if the caller
 * is gone.
 */
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /** Sends one token. `eventId` is the id with which the caller can resume after it. Returns false if the caller is gone. */
    virtual bool sendToken(const EngineEvent &event, const std::string &eventId) = 0;

    /** Ends a complete answer. */
    virtual void complete() = 0;

    /** Ends the answer with an error; it is incomplete if a token was sent. `lastEventId` is empty if no token was sent. */
    virtual void fail(const Error &error, const std::string &lastEventId) = 0;

    /** Ends the answer because the node shuts down. The caller can resume it with this event id at another node. */
    virtual void handOver(const Error &error, const std::string &eventId) = 0;

    /** True if the caller has closed its connection. Doesn't block. */
    virtual bool isCallerGone() = 0;
};

}
