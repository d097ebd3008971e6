#include <LibHttp/ErrorBody.h>

#include <Poco/JSONString.h>
#include <fmt/format.h>

namespace Lovageward {

std::string jsonText(std::string_view text)
{
    return Poco::toJSON(std::string(text));
}

std::string errorBody(const Error &error, std::string_view requestId, std::string_view resumeId)
{
    auto resume = resumeId.empty() ? std::string() : fmt::format(",\"resume\":{}", jsonText(resumeId));
    return fmt::format("{{\"error\":{{\"code\":{},\"name\":\"{}\",\"message\":{},\"run_state\":\"{}\",\"request_id\":{}{}}}}}",
                       static_cast<int>(error.code()),
                       resultName(error.code()),
                       jsonText(error.what()),
                       runStateName(error.runState()),
                       jsonText(requestId),
                       resume);
}

}
