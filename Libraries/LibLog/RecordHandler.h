#pragma once

#include <LibLog/LogService.h>

namespace Lovageward {

/** Receives the records of one stream in offset order. The handler, not the reader, knows the position in the stream. */
class RecordHandler
{
public:
    virtual ~RecordHandler() = default;

    /** Offset of the next record that the handler wants. */
    virtual Offset nextOffset() const = 0;

    /** Takes one record. A record below nextOffset() has no effect, since records may also arrive by another way. */
    virtual void applyRecord(const LogRecord &record) = 0;

    /** The records from nextOffset() up to `firstRetained` have expired; records follow from `firstRetained`. */
    virtual void noticeGap(Offset firstRetained) = 0;

    /** Called after each successful read, also after an empty one, with the offset of the newest record of the stream. */
    virtual void noticeEnd(Offset end) = 0;
};

}
