#pragma once

#include <LibRelay/CompletionRequest.h>

#include <cstddef>
#include <string_view>

namespace Lovageward {

/** Parses request bodies of the OpenAI-compatible API. Stateless. */
class CompletionRequestParser
{
public:
    explicit CompletionRequestParser(std::size_t maximumBodyBytes) : maximumBodyBytes(maximumBodyBytes)
    {
    }

    /**
     * `workClassHeader` is the value of X-Work-Class, or empty. Throws Error with NotRun: BodyTooLarge, MalformedJson if the body isn't a JSON
     * object, BadRequest if a field is missing or has an unsupported value.
     */
    CompletionRequest parse(CompletionKind kind, const std::string &body, std::string_view workClassHeader) const;

private:
    std::size_t maximumBodyBytes;
};

}
