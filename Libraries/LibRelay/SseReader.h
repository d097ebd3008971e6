#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** One server-sent event. */
struct SseEvent
{
    /** Empty if this event carried no id; the id of an earlier event isn't inherited. */
    std::string id;
    /** Event type; empty for the default type. */
    std::string name;
    /** Data lines joined by line feeds. */
    std::string data;
};

/** Parses server-sent events from a byte stream that arrives in pieces of any size. The two limits bound its memory. */
class SseReader
{
public:
    SseReader(std::size_t maximumLineBytes, std::size_t maximumEventBytes) : maximumLineBytes(maximumLineBytes), maximumEventBytes(maximumEventBytes)
    {
    }

    /** Adds received bytes. */
    void append(std::string_view bytes);

    /** Next complete event, if there is one. Throws Error(AnswerMismatch) when a line or an event exceeds its limit. */
    std::optional<SseEvent> next();

private:
    /** Takes the next complete line from the buffer. */
    bool takeLine(std::string_view &line);
    void takeField(std::string_view line);
    std::optional<SseEvent> finishEvent();

    std::size_t maximumLineBytes;
    std::size_t maximumEventBytes;
    std::string buffer;
    /** Start of the first unread line in the buffer. */
    std::size_t lineStart = 0;
    /** Bytes of the current line that were already searched for its end. */
    std::size_t searched = 0;
    bool skipsLineFeed = false;
    bool hasData = false;
    SseEvent current;
};

}
