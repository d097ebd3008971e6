#pragma once

#include <LibLog/LogService.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lovageward {

/** Asks a peer for configuration records, or for a part of its state. */
struct ConfigPullRequest
{
    /** First offset that is missing; 0 to ask for the state. */
    Offset from;
    /** With `from` 0: the state whose part is wanted; 0 for the newest state, part 0. */
    Offset stateAsOf;
    std::uint32_t part = 0;
};

/** Records or one part of the state. */
struct ConfigPullAnswer
{
    /** Newest offset that the peer has applied. */
    Offset applied;
    /** Records from the wanted offset on; empty if the peer has none or sends its state. */
    std::vector<LogRecord> records;
    /** Offset of the state of which `bytes` is a part; 0 if records are sent. */
    Offset stateAsOf;
    std::uint32_t part = 0;
    std::uint32_t partCount = 0;
    std::string bytes;
};

std::string encodePullRequest(const ConfigPullRequest &request);
std::string encodePullAnswer(const ConfigPullAnswer &answer);

/** Throws Error(MalformedMessage). */
ConfigPullRequest decodePullRequest(const std::string &payload);

/** Throws Error(MalformedMessage). */
ConfigPullAnswer decodePullAnswer(const std::string &payload);

}
