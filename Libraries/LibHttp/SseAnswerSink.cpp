#include <LibHttp/SseAnswerSink.h>

#include <LibHttp/ErrorBody.h>

#include <fmt/format.h>

#include <iterator>

namespace Lovageward {

namespace {

/** Appends the text as data lines; a line break within it would otherwise end the field. */
void appendData(std::string &part, std::string_view data)
{
    while (true) {
        auto end = data.find('\n');
        fmt::format_to(std::back_inserter(part), "data: {}\n", data.substr(0, end));
        if (end == std::string_view::npos) {
            return;
        }
        data.remove_prefix(end + 1);
    }
}

}

bool SseAnswerSink::write(std::string_view part)
{
    return (this->response.hasStarted() || this->response.beginEventStream()) && this->response.writePart(part);
}

bool SseAnswerSink::sendToken(const EngineEvent &event, const std::string &eventId)
{
    auto part = fmt::format("id: {}\n", eventId);
    appendData(part, event.data);
    part += '\n';
    return this->write(part);
}

void SseAnswerSink::complete()
{
    this->write("data: [DONE]\n\n");
    this->response.endEventStream();
}

void SseAnswerSink::fail(const Error &error, const std::string &lastEventId)
{
    if (!this->response.hasStarted()) {
        this->response.writeError(error);
        return;
    }
    this->writeTyped("incomplete", error, lastEventId);
}

void SseAnswerSink::handOver(const Error &error, const std::string &eventId)
{
    this->writeTyped("resume", error, eventId);
}

void SseAnswerSink::writeTyped(std::string_view name, const Error &error, const std::string &eventId)
{
    auto part = fmt::format("event: {}\nid: {}\n", name, eventId);
    appendData(part, errorBody(error, this->response.request(), eventId));
    part += '\n';
    this->write(part);
    this->response.endEventStream();
}

bool SseAnswerSink::isCallerGone()
{
    return this->response.isCallerGone();
}

}
