#pragma once

#include <LibCore/Ids.h>

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>

namespace Lovageward {

enum class CompletionKind {
    Chat,
    Plain,
};

/** A parsed request of the OpenAI-compatible API. */
struct CompletionRequest
{
    CompletionKind kind = CompletionKind::Chat;
    /** Value of the X-Work-Class header, or of the model field if there was no such header. */
    WorkClassId workClass;
    /** Value of the model field; empty if there was none. */
    std::string modelField;
    bool isStreamed = false;
    /** XXH64 of the beginning of the prompt; identical on every node and never 0. */
    std::uint64_t prefixHash = 0;
    /** Estimate from the length of the prompt. */
    TokenCount promptTokens;
    Poco::JSON::Object::Ptr body;

    /** HTTP path of the request, for callers and engines alike. */
    std::string path() const;

    /** JSON body for the engine: the caller's body with `model` replaced and `stream` set to true. */
    std::string engineBody(const ModelId &model) const;
};

}
