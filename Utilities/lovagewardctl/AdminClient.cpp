#include <lovagewardctl/AdminClient.h>

#include <LibCore/Error.h>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

RunState runStateOf(const std::string &name)
{
    return name == runStateName(RunState::NotRun) ? RunState::NotRun : RunState::Unknown;
}

/** Error that the API's answer describes. */
Error errorIn(const JsonObject &json)
{
    auto details = json->getObject("error");
    auto message = details->optValue<std::string>("message", "no message");
    if (details->has("record_id")) {
        message += fmt::format(" (record {})", details->getValue<std::string>("record_id"));
    }
    auto code = static_cast<ResultCode>(details->getValue<int>("code"));
    return Error(code, runStateOf(details->optValue<std::string>("run_state", "unknown")), message);
}

}

JsonObject AdminClient::call(const std::string &method, const std::string &target, const std::string &body)
{
    auto answer = this->transport.call(method, target, body);
    JsonObject json;
    try {
        json = parseJsonObject(answer.body);
    } catch (const Error &) {
        throw Error(ResultCode::MalformedMessage, RunState::Unknown, fmt::format("the answer with status {} is not JSON", answer.status));
    }
    if (json->isObject("error")) {
        throw errorIn(json);
    }
    if (answer.status != Poco::Net::HTTPResponse::HTTP_OK) {
        throw Error(ResultCode::MalformedMessage, RunState::Unknown, fmt::format("unexpected status {}", answer.status));
    }
    return json;
}

JsonObject AdminClient::find(const std::string &target)
{
    try {
        return this->call("GET", target);
    } catch (const Error &error) {
        if (error.code() == ResultCode::NotFound) {
            return nullptr;
        }
        throw;
    }
}

std::string escaped(const std::string &text)
{
    std::string result;
    Poco::URI::encode(text, "/?#&=+%", result);
    return result;
}

}
