#include <LibGateway/EventStreamParser.h>

#include <LibCore/Error.h>

#include <fmt/format.h>

#include <charconv>

namespace Lovageward {

namespace {

constexpr std::string_view idField = "id:";

/** Returns the number in the event's id line; nullopt if there is no id line or no valid number. */
std::optional<std::uint64_t> parseId(std::string_view event)
{
    std::size_t position = 0;
    while (position < event.size()) {
        auto end = event.find('\n', position);
        auto line = event.substr(position, end - position);
        if (line.starts_with(idField)) {
            auto text = line.substr(idField.size());
            while (!text.empty() && text.front() == ' ') {
                text.remove_prefix(1);
            }
            std::uint64_t id = 0;
            auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), id);
            auto isComplete = rest == text.data() + text.size() || *rest == '\r';
            return failure == std::errc() && isComplete ? std::optional(id) : std::nullopt;
        }
        position = end == std::string_view::npos ? event.size() : end + 1;
    }
    return std::nullopt;
}

/** True if all lines of the block are comments, which upstreams send to keep a connection alive. */
bool isCommentBlock(std::string_view block)
{
    for (std::size_t position = 0; position < block.size();) {
        auto end = block.find('\n', position);
        if (end != position && block[position] != ':') {
            return false;
        }
        position = end == std::string_view::npos ? block.size() : end + 1;
    }
    return true;
}

}

void EventStreamParser::append(std::string_view bytes)
{
    if (this->eventStart > 0) {
        this->buffer.erase(0, this->eventStart);
        this->eventStart = 0;
    }
    this->buffer.append(bytes);
}

std::size_t EventStreamParser::capacityFor(std::size_t addedBytes) const
{
    return this->buffer.size() - this->eventStart + addedBytes;
}

void EventStreamParser::reserve(std::size_t bytes)
{
    if (bytes <= this->buffer.capacity()) {
        return;
    }
    // std::string::reserve() may allocate twice the size.
    std::string larger;
    larger.reserve(bytes);
    larger.append(this->buffer, this->eventStart, std::string::npos);
    this->buffer.swap(larger);
    this->eventStart = 0;
}

void EventStreamParser::releaseEmptyBuffer()
{
    if (this->eventStart == this->buffer.size()) {
        this->buffer = std::string();
        this->eventStart = 0;
    }
}

std::optional<StreamEvent> EventStreamParser::parseNext()
{
    constexpr std::string_view eventEnd = "\n\n";
    // The last searched byte can be the first byte of the event end.
    auto from = this->eventStart + (this->searchedBytes > 0 ? this->searchedBytes - 1 : 0);
    auto end = this->buffer.find(eventEnd, from);
    while (end != std::string::npos && isCommentBlock(std::string_view(this->buffer).substr(this->blockStart(), end - this->blockStart()))) {
        this->commentBytes = end + eventEnd.size() - this->eventStart;
        end = this->buffer.find(eventEnd, this->blockStart());
    }
    if (end == std::string::npos) {
        this->searchedBytes = this->buffer.size() - this->eventStart;
        if (this->searchedBytes > this->maximumEventBytes) {
            throw Error(ResultCode::AnswerMismatch, RunState::Unknown, "an event exceeds the size limit");
        }
        return std::nullopt;
    }
    end += eventEnd.size();
    StreamEvent event;
    event.bytes = std::string_view(this->buffer).substr(this->eventStart, end - this->eventStart);
    this->eventStart = end;
    this->searchedBytes = 0;
    this->commentBytes = 0;
    if (event.bytes.size() > this->maximumEventBytes) {
        throw Error(ResultCode::AnswerMismatch, RunState::Unknown, "an event exceeds the size limit");
    }
    auto id = parseId(event.bytes);
    if (!id) {
        throw Error(ResultCode::AnswerMismatch, RunState::Unknown, "an event has no id");
    }
    if (this->lastEventId && *id != *this->lastEventId + 1) {
        throw Error(ResultCode::OffsetGap, RunState::Unknown, fmt::format("event {} follows event {}", *id, *this->lastEventId));
    }
    this->lastEventId = id;
    event.id = *id;
    return event;
}

void EventStreamParser::discardPartialEvent()
{
    this->buffer = std::string();
    this->eventStart = 0;
    this->searchedBytes = 0;
    this->commentBytes = 0;
}

}
