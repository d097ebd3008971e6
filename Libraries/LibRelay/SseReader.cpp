#include <LibRelay/SseReader.h>

#include <LibCore/Error.h>

#include <utility>

namespace Lovageward {

void SseReader::append(std::string_view bytes)
{
    this->buffer.erase(0, this->lineStart);
    this->lineStart = 0;
    this->buffer.append(bytes);
}

bool SseReader::takeLine(std::string_view &line)
{
    // A line ends with CR, LF or both; the LF of a pair may arrive later than its CR.
    if (this->skipsLineFeed && this->lineStart < this->buffer.size()) {
        this->lineStart += this->buffer[this->lineStart] == '\n' ? 1 : 0;
        this->skipsLineFeed = false;
    }
    auto end = this->buffer.find_first_of("\r\n", this->lineStart + this->searched);
    auto length = (end == std::string::npos ? this->buffer.size() : end) - this->lineStart;
    if (length > this->maximumLineBytes) {
        throw Error(ResultCode::AnswerMismatch, RunState::Unknown, "a line of the event stream is too long");
    }
    if (end == std::string::npos) {
        this->searched = length;
        return false;
    }
    line = std::string_view(this->buffer).substr(this->lineStart, length);
    this->skipsLineFeed = this->buffer[end] == '\r';
    this->lineStart = end + 1;
    this->searched = 0;
    return true;
}

void SseReader::takeField(std::string_view line)
{
    auto colon = line.find(':');
    auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (field == "data") {
        if (this->hasData) {
            this->current.data += '\n';
        }
        this->hasData = true;
        this->current.data += value;
    } else if (field == "id" && value.find('\0') == std::string_view::npos) {
        this->current.id = value;
    } else if (field == "event") {
        this->current.name = value;
    }
    if (this->current.data.size() + this->current.id.size() + this->current.name.size() > this->maximumEventBytes) {
        throw Error(ResultCode::AnswerMismatch, RunState::Unknown, "an event of the event stream is too large");
    }
}

std::optional<SseEvent> SseReader::finishEvent()
{
    auto event = std::exchange(this->current, SseEvent());
    if (!std::exchange(this->hasData, false)) {
        return std::nullopt;
    }
    return event;
}

std::optional<SseEvent> SseReader::next()
{
    std::string_view line;
    while (this->takeLine(line)) {
        if (!line.empty()) {
            this->takeField(line);
        } else if (auto event = this->finishEvent()) {
            return event;
        }
    }
    return std::nullopt;
}

}
