#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibHttp1/HeaderFields.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Lovageward {

/** A part of a prompt. Requests may share parts, except for the last one, which belongs to the request or its session. */
struct PromptPart
{
    std::string id;
    TokenCount tokens;
};

/** A caller's request to be forwarded to an upstream, as decoded by the ForwardProtocol. */
struct ForwardedRequest
{
    RequestId id;
    std::string method;
    /** Path and query, unchanged. */
    std::string target;
    std::string host;
    /** The caller's API key; empty if there is none. */
    std::string apiKey;
    TimePoint arrivedAt;
    /** Time until which the caller waits for the response. */
    TimePoint deadline;
    ModelId model;
    TokenCount promptTokens;
    TokenCount maximumOutputTokens;
    /** The caller's estimate of the output length. */
    std::optional<TokenCount> expectedOutputTokens;
    std::vector<PromptPart> promptParts;
    /** Id of the last event that the caller received in an earlier response. */
    std::optional<std::uint64_t> lastEventId;
    /** Header fields that are forwarded unchanged. */
    HeaderFields forwardedHeaders;
    std::string body;
    bool hasBody = false;

    /** The parts of the prompt that other requests may share: all but the last one. */
    std::span<const PromptPart> sharedPromptParts() const
    {
        return { this->promptParts.data(), this->promptParts.empty() ? 0 : this->promptParts.size() - 1 };
    }
};

}
