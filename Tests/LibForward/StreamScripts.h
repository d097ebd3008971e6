#pragma once

#include <Support/ScriptedUpstream.h>

#include <fmt/format.h>

#include <string>

namespace Lovageward {

/** Number of times that the caller received the event. */
inline int timesReceived(const std::string &text, int id)
{
    auto event = fmt::format("id: {}\ndata: e{}\n\n", id, id);
    int count = 0;
    for (auto at = text.find(event); at != std::string::npos; at = text.find(event, at + 1)) {
        ++count;
    }
    return count;
}

/** True if the caller received events 0 to `events` - 1 once each, and the end of the stream. */
inline bool isCompleteStream(const std::string &text, int events)
{
    for (int id = 0; id < events; ++id) {
        if (timesReceived(text, id) != 1) {
            return false;
        }
    }
    return text.ends_with("0\r\n\r\n") && text.find("HTTP/1.1 200", 1) == std::string::npos;
}

/** Sends the events from `from` to `to` - 1. */
inline void sendEvents(ScriptedConnection &connection, int from, int to)
{
    for (int id = from; id < to; ++id) {
        connection.sendEvent(id);
    }
}

/** Streams the events after the request's Last-Event-Id, up to the total number `events`. */
inline void continueStream(ScriptedConnection &connection, const std::string &request, int events)
{
    connection.beginStream(request);
    sendEvents(connection, std::stoi(ScriptedConnection::field(request, "Last-Event-Id", "-1")) + 1, events);
    connection.endStream();
}

}
