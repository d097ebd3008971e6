#include <LibHttp/JsonAnswerSink.h>

#include <LibHttp/ErrorBody.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

namespace Lovageward {

JsonAnswerSink::JsonAnswerSink(ResponseWriter &response, CompletionKind kind, std::string model, TokenCount promptTokens, WallTime now)
    : response(response), kind(kind), model(std::move(model)), promptTokens(promptTokens), createdAt(now)
{
}

bool JsonAnswerSink::sendToken(const EngineEvent &event, const std::string & /*eventId*/)
{
    this->text += event.text;
    this->lastData = event.data;
    ++this->tokens;
    return true;
}

std::string JsonAnswerSink::finishReason() const
{
    try {
        auto event = Poco::JSON::Parser().parse(this->lastData).extract<Poco::JSON::Object::Ptr>();
        auto choices = event->getArray("choices");
        auto choice = choices.isNull() ? Poco::JSON::Object::Ptr() : choices->getObject(0);
        auto reason = choice.isNull() ? Poco::Dynamic::Var() : choice->get("finish_reason");
        return reason.isString() ? reason.extract<std::string>() : "stop";
    } catch (const Poco::Exception &) {
        return "stop";
    }
}

void JsonAnswerSink::complete()
{
    bool isChat = this->kind == CompletionKind::Chat;
    auto content = isChat ? fmt::format("\"message\":{{\"role\":\"assistant\",\"content\":{}}}", jsonText(this->text))
                          : fmt::format("\"text\":{}", jsonText(this->text));
    auto body = fmt::format("{{\"id\":{},\"object\":\"{}\",\"created\":{},\"model\":{},"
                            "\"choices\":[{{\"index\":0,{},\"finish_reason\":{}}}],"
                            "\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{}}}}}",
                            jsonText(this->response.request()),
                            isChat ? "chat.completion" : "text_completion",
                            toMilliseconds(this->createdAt) / 1000,
                            jsonText(this->model),
                            content,
                            jsonText(this->finishReason()),
                            this->promptTokens.value(),
                            this->tokens,
                            this->promptTokens.value() + this->tokens);
    this->response.writeWhole(200, "application/json", body);
}

void JsonAnswerSink::fail(const Error &error, const std::string & /*lastEventId*/)
{
    this->response.writeError(error);
}

void JsonAnswerSink::handOver(const Error &error, const std::string &eventId)
{
    this->response.writeError(error, eventId);
}

bool JsonAnswerSink::isCallerGone()
{
    return this->response.isCallerGone();
}

}
