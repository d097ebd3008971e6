#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Lovageward {

/**
 * Decides which connections are overdue with a request. One deadline covers a whole request, so that a sender can't extend it by sending a byte
 * from time to time. Does no I/O and isn't thread-safe.
 */
class ConnectionWatch
{
public:
    using Id = std::uint64_t;

    /** Adds a connection without a request. */
    Id open();

    /** Forgets a connection. */
    void close(Id id);

    /** The first byte of a request has arrived. Returns false if the connection has to close because of beginClosing(). */
    bool beginRequest(Id id, TimePoint deadline);

    /** The request has arrived, or its reading has failed. Returns false if it is overdue. Further calls return the same. */
    bool endArrival(Id id, TimePoint now);

    /** The request was answered; the connection is idle again. */
    void endRequest(Id id);

    /** Connections whose deadline has passed since the last call. */
    std::vector<Id> takeOverdue(TimePoint now);

    /** Deadline of the request that is overdue next. */
    std::optional<TimePoint> nextDeadline() const;

    /** From now on no request is begun. Returns the idle connections. */
    std::vector<Id> beginClosing();

    /** False after beginClosing(). */
    bool acceptsRequests() const
    {
        return !this->isClosing;
    }

private:
    enum class State {
        Idle,
        Arriving,
        Overdue,
        Arrived,
    };

    struct Connection
    {
        State state = State::Idle;
        TimePoint deadline;
    };

    std::map<Id, Connection> connections;
    /** Deadlines of the arriving requests. */
    std::set<std::pair<TimePoint, Id>> deadlines;
    Id nextId = 1;
    bool isClosing = false;
};

}
