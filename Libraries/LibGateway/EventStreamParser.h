#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** A complete event of an event stream. */
struct StreamEvent
{
    std::uint64_t id = 0;
    /** The event as received, with its end and the comments before it. Valid until the parser's next change. */
    std::string_view bytes;
};

/**
 * Splits an event stream into complete events without changing their bytes, and checks that their ids are consecutive. After
 * discardPartialEvent() another source can continue the stream.
 */
class EventStreamParser
{
public:
    /** `maximumEventBytes` limits the memory that an unterminated event can take. */
    explicit EventStreamParser(std::size_t maximumEventBytes) : maximumEventBytes(maximumEventBytes)
    {
    }

    void append(std::string_view bytes);

    /** Size in bytes of the buffer that is needed to append the given number of bytes without growing. */
    std::size_t capacityFor(std::size_t addedBytes) const;

    /** Gives the buffer the capacity, in bytes, if that is more than now. */
    void reserve(std::size_t bytes);

    /** Frees the buffer if no bytes are in it. */
    void releaseEmptyBuffer();

    /**
     * Returns the next complete event, or nullopt until more bytes arrive. Throws Error(OffsetGap) if the id isn't the successor of the last one, and
     * Error(AnswerMismatch) if the event has no id or is longer than `maximumEventBytes`.
     */
    std::optional<StreamEvent> parseNext();

    /** Drops the buffered bytes of an incomplete event; the last id stays. */
    void discardPartialEvent();

    /** True if no bytes of an incomplete event are buffered; complete comments may be. */
    bool isBetweenEvents() const
    {
        return this->blockStart() == this->buffer.size();
    }

    /** Id of the last complete event; nullopt before the first. */
    std::optional<std::uint64_t> lastId() const
    {
        return this->lastEventId;
    }

    /** Sets the id of the last event, if another node or the caller has already received the stream up to it. */
    void continueAfter(std::uint64_t id)
    {
        this->lastEventId = id;
    }

private:
    /** Position in the buffer after the complete comments, where the next event or comment starts. */
    std::size_t blockStart() const
    {
        return this->eventStart + this->commentBytes;
    }

    std::size_t maximumEventBytes;
    std::string buffer;
    /** Position in the buffer of the next event, including the comments before it. */
    std::size_t eventStart = 0;
    /** Number of bytes after `eventStart` that were already searched for the end of the event. */
    std::size_t searchedBytes = 0;
    /** Number of bytes after `eventStart` that are complete comments. */
    std::size_t commentBytes = 0;
    std::optional<std::uint64_t> lastEventId;
};

}
