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
    /** Named by the work-class header, or else by the model field. */
    WorkClassId workClass;
    /** Value of the model field; empty if there was none. */
    std::string modelField;
    bool isStreamed = false;
    /** XXH64 of the prompt's beginning; the same on every node and never 0. */
    std::uint64_t prefixHash = 0;
    /** Estimate from the text's length. */
    TokenCount promptTokens;
    Poco::JSON::Object::Ptr body;

    /** Path at callers and engines. */
    std::string path() const;

    /** The body for the engine: streamed and with the engine's name of the model. */
    std::string engineBody(const ModelId &model) const;
};

}
