#include <LibHttp/EngineEventDecoder.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <charconv>

namespace Lovageward {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::string_view endMarker = "[DONE]";
constexpr std::size_t maximumDepth = 32;

[[noreturn]] void reject(const std::string &message)
{
    throw Error(ResultCode::AnswerMismatch, RunState::Unknown, message);
}

Object::Ptr parseObject(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maximumDepth);
        auto value = parser.parse(text);
        if (value.type() == typeid(Object::Ptr)) {
            return value.extract<Object::Ptr>();
        }
    } catch (const std::exception &) {
        reject("an event of the engine is not valid JSON");
    }
    reject("an event of the engine is not a JSON object");
}

std::string text(const Object &object, const std::string &name)
{
    auto value = object.get(name);
    return value.isString() ? value.extract<std::string>() : std::string();
}

/** Text of the first choice: "text" of plain completions, "delta.content" of chats. */
std::string choiceText(const Object &event)
{
    auto choices = event.getArray("choices");
    auto choice = choices.isNull() ? Object::Ptr() : choices->getObject(0);
    if (choice.isNull()) {
        return {};
    }
    auto delta = choice->getObject("delta");
    return delta.isNull() ? text(*choice, "text") : text(*delta, "content");
}

/** Reads "<generation>/<offset>". */
bool parseEventId(const std::string &id, std::string_view &generation, std::uint64_t &offset)
{
    auto slash = id.rfind('/');
    if (slash == std::string::npos) {
        return false;
    }
    generation = std::string_view(id).substr(0, slash);
    auto [end, error] = std::from_chars(id.data() + slash + 1, id.data() + id.size(), offset);
    return error == std::errc() && end == id.data() + id.size();
}

}

EngineEvent EngineEventDecoder::decode(const SseEvent &received)
{
    return received.data == endMarker ? this->decodeEnd(received) : this->decodeToken(received);
}

EngineEvent EngineEventDecoder::decodeEnd(const SseEvent &received) const
{
    EngineEvent event;
    event.kind = EngineEvent::Kind::End;
    event.request = this->request;
    event.generation = this->generation;
    event.offset = TokenOffset(this->nextOffset);
    std::string_view generationOfId;
    std::uint64_t offsetOfId = 0;
    if (parseEventId(received.id, generationOfId, offsetOfId)) {
        event.generation = GenerationId(std::string(generationOfId));
    }
    return event;
}

EngineEvent EngineEventDecoder::decodeToken(const SseEvent &received)
{
    auto object = parseObject(received.data);
    if (object->has("error")) {
        auto error = object->getObject("error");
        throw Error(ResultCode::UpstreamError, RunState::Ran, "the engine reported: " + (error.isNull() ? std::string("an error") : text(*error, "message")));
    }
    EngineEvent event;
    event.request = RequestId(text(*object, "request_id"));
    event.generation = GenerationId(text(*object, "generation_id"));
    auto offset = object->get("offset");
    if (event.request.isEmpty() || event.generation.isEmpty() || !offset.isInteger()) {
        reject("an event of the engine lacks request_id, generation_id or offset");
    }
    try {
        event.offset = TokenOffset(offset.convert<Poco::UInt64>());
        event.text = choiceText(*object);
    } catch (const Poco::Exception &error) {
        reject("an event of the engine has a wrong field: " + error.displayText());
    }
    std::string_view generationOfId;
    std::uint64_t offsetOfId = 0;
    bool hasId = parseEventId(received.id, generationOfId, offsetOfId);
    if (hasId && (generationOfId != event.generation.value() || offsetOfId != event.offset.value())) {
        reject("the id of an engine event contradicts its data");
    }
    event.data = received.data;
    this->request = event.request;
    this->generation = event.generation;
    this->nextOffset = event.offset.value() + 1;
    return event;
}

}
