#pragma once

#include <LibHttp/ResponseWriter.h>
#include <LibRelay/AnswerSink.h>

namespace Lovageward {

/**
 * Writes an answer as server-sent events. The response head is written with the first event, so that an error before it gets its own status.
 * Typed events: `incomplete` ends an answer that can't be finished, `resume` carries the id at which another node goes on.
 */
class SseAnswerSink final : public AnswerSink
{
public:
    explicit SseAnswerSink(ResponseWriter &response) : response(response)
    {
    }

    bool sendToken(const EngineEvent &event, const std::string &eventId) override;
    void complete() override;
    void fail(const Error &error, const std::string &lastEventId) override;
    void handOver(const Error &error, const std::string &eventId) override;
    bool isCallerGone() override;

private:
    bool write(std::string_view part);
    void writeTyped(std::string_view name, const Error &error, const std::string &eventId);

    ResponseWriter &response;
};

}
