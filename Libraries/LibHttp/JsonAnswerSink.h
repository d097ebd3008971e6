#pragma once

#include <LibHttp/ResponseWriter.h>
#include <LibRelay/AnswerSink.h>
#include <LibRelay/CompletionRequest.h>

#include <string>

namespace Lovageward {

/** Collects an answer and writes it as one JSON object. The relay holds the answer, so nothing is collected before it is whole. */
class JsonAnswerSink final : public AnswerSink
{
public:
    /** `promptTokens` is the estimate that the answer's usage shows. */
    JsonAnswerSink(ResponseWriter &response, CompletionKind kind, std::string model, TokenCount promptTokens, WallTime now);

    bool sendToken(const EngineEvent &event, const std::string &eventId) override;
    void complete() override;
    void fail(const Error &error, const std::string &lastEventId) override;
    void handOver(const Error &error, const std::string &eventId) override;
    bool isCallerGone() override;

private:
    /** The reason why the engine ended the answer, from the last event that names one. */
    std::string finishReason() const;

    ResponseWriter &response;
    CompletionKind kind;
    std::string model;
    TokenCount promptTokens;
    WallTime createdAt;
    std::string text;
    std::string lastData;
    std::uint64_t tokens = 0;
};

}
