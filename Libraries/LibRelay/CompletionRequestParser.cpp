#include <LibRelay/CompletionRequestParser.h>

#include <LibCore/Error.h>
#include <LibRelay/PromptSummary.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <cmath>

namespace Lovageward {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

// Limits the nesting of JSON values, which are destroyed recursively on the small stack of a connection thread.
constexpr std::size_t maximumDepth = 32;
constexpr std::size_t maximumClassBytes = 128;

[[noreturn]] void refuse(const std::string &message)
{
    throw Error(ResultCode::BadRequest, RunState::NotRun, message);
}

Object::Ptr parseObject(const std::string &body)
{
    try {
        // Preserves the order of the members, so that the engine receives the body as the caller wrote it.
        Poco::JSON::Parser parser(new Poco::JSON::ParseHandler(true));
        parser.setDepth(maximumDepth);
        auto value = parser.parse(body);
        if (value.type() == typeid(Object::Ptr)) {
            return value.extract<Object::Ptr>();
        }
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::MalformedJson, RunState::NotRun, "the body is not valid JSON: " + error.displayText());
    } catch (const std::exception &error) {
        throw Error(ResultCode::MalformedJson, RunState::NotRun, std::string("the body is not valid JSON: ") + error.what());
    }
    throw Error(ResultCode::MalformedJson, RunState::NotRun, "the body is not a JSON object");
}

std::string textField(const Object &object, const std::string &name)
{
    auto value = object.get(name);
    if (value.isEmpty()) {
        return {};
    }
    if (!value.isString()) {
        refuse(fmt::format("\"{}\" must be a string", name));
    }
    return value.extract<std::string>();
}

bool booleanField(const Object &object, const std::string &name)
{
    auto value = object.get(name);
    if (value.isEmpty()) {
        return false;
    }
    if (!value.isBoolean()) {
        refuse(fmt::format("\"{}\" must be true or false", name));
    }
    return value.extract<bool>();
}

void addContent(const Var &content, PromptSummary &summary)
{
    if (content.isEmpty()) {
        return;
    }
    if (content.isString()) {
        summary.add(content.extract<std::string>());
        return;
    }
    if (content.type() != typeid(Array::Ptr)) {
        refuse("\"content\" of a message must be a string or an array of parts");
    }
    for (const auto &part : *content.extract<Array::Ptr>()) {
        if (part.type() != typeid(Object::Ptr)) {
            refuse("a part of \"content\" must be an object");
        }
        summary.add(textField(*part.extract<Object::Ptr>(), "text"));
    }
}

void addMessages(const Object &object, PromptSummary &summary)
{
    auto messages = object.get("messages");
    if (messages.type() != typeid(Array::Ptr) || messages.extract<Array::Ptr>()->empty()) {
        refuse("\"messages\" must be an array with at least one message");
    }
    for (const auto &message : *messages.extract<Array::Ptr>()) {
        if (message.type() != typeid(Object::Ptr)) {
            refuse("a message must be an object");
        }
        const auto &fields = *message.extract<Object::Ptr>();
        auto role = textField(fields, "role");
        if (role.empty()) {
            refuse("a message must have a \"role\"");
        }
        summary.add(role);
        addContent(fields.get("content"), summary);
    }
}

void addPrompt(const Object &object, PromptSummary &summary)
{
    auto prompt = object.get("prompt");
    if (!prompt.isString()) {
        refuse("\"prompt\" must be a string");
    }
    summary.add(prompt.extract<std::string>());
}

/** Rejects options that the relay doesn't support: several choices, and without streaming also parts that a collected answer would lose. */
void checkOptions(const Object &object, bool isStreamed)
{
    auto count = object.get("n");
    if (!count.isEmpty() && !(count.isInteger() && count == 1)) {
        refuse("\"n\" must be 1");
    }
    if (isStreamed) {
        return;
    }
    for (const char *name : { "tools", "functions", "logprobs" }) {
        auto value = object.get(name);
        if (!value.isEmpty() && !(value.isBoolean() && !value.extract<bool>())) {
            refuse(fmt::format("\"{}\" requires \"stream\": true", name));
        }
    }
}

/** Rejects numbers beyond the range of a double: POCO parses them as infinity and would write them as invalid JSON. */
void checkNumbers(const Var &value)
{
    if (value.type() == typeid(double) && !std::isfinite(value.extract<double>())) {
        throw Error(ResultCode::MalformedJson, RunState::NotRun, "a number is out of range");
    }
    if (value.type() == typeid(Object::Ptr)) {
        for (const auto &[name, member] : *value.extract<Object::Ptr>()) {
            checkNumbers(member);
        }
    } else if (value.type() == typeid(Array::Ptr)) {
        for (const auto &element : *value.extract<Array::Ptr>()) {
            checkNumbers(element);
        }
    }
}

}

CompletionRequest CompletionRequestParser::parse(CompletionKind kind, const std::string &body, std::string_view workClassHeader) const
{
    if (body.size() > this->maximumBodyBytes) {
        throw Error(ResultCode::BodyTooLarge, RunState::NotRun, fmt::format("the body is larger than {} bytes", this->maximumBodyBytes));
    }
    CompletionRequest request;
    request.kind = kind;
    request.body = parseObject(body);
    checkNumbers(Var(request.body));
    request.modelField = textField(*request.body, "model");
    request.workClass = WorkClassId(workClassHeader.empty() ? request.modelField : std::string(workClassHeader));
    if (request.workClass.isEmpty()) {
        refuse("the request must have a \"model\" or the header X-Work-Class");
    }
    if (request.workClass.value().size() > maximumClassBytes) {
        refuse("the name of the work class is too long");
    }
    request.isStreamed = booleanField(*request.body, "stream");
    checkOptions(*request.body, request.isStreamed);
    PromptSummary summary;
    kind == CompletionKind::Chat ? addMessages(*request.body, summary) : addPrompt(*request.body, summary);
    request.prefixHash = summary.prefixHash();
    request.promptTokens = summary.estimatedTokens();
    return request;
}

}
