#pragma once

#include <LibCore/MinimumDataRate.h>
#include <LibCore/Time.h>
#include <LibRelay/RelayLimits.h>

#include <cstddef>
#include <string>

namespace Lovageward {

/** Bytes of a caller's connection without its kernel buffer: the used part of its stack, received bytes, and the first part of a body. */
inline constexpr std::uint64_t callerConnectionBytes = 49'152;

/** Limits and addresses of the caller API. */
struct CallerServerSettings
{
    /** "IP:port"; port 0 lets the kernel choose one. */
    std::string listenAddress = "127.0.0.1:0";
    std::size_t maximumBodyBytes = 1'048'576;
    /** JSON values of a body, names of members included; each may take up a hundred times its length once it is parsed. */
    std::size_t maximumJsonValues = 20'000;
    std::size_t maximumHeaderBytes = 16'384;
    std::size_t maximumHeaderFields = 64;
    /** A request must have arrived completely this long after its first byte, and a caller must take written bytes within it. */
    Duration slowSenderTimeout = seconds(10);
    /** Connections without a request are closed after this time. */
    Duration idleConnectionTimeout = seconds(60);
    /** Each open caller connection holds one thread, so this is also the largest number of open streams. */
    int maximumThreads = 1024;
    int threadStackBytes = 128 * 1024;
    /** Bytes that each connection is charged. */
    std::uint64_t connectionBytes = callerConnectionBytes;
    /** Rate at which a request's body has to arrive. */
    DataRateLimit bodyRate { 1'024, seconds(5) };
    /** Time for which a body waits for memory before it is rejected. */
    Duration memoryWait = seconds(1);
    /** Key of the resume tokens; the same on every node, at least 16 bytes. */
    std::string resumeKey;
    Duration resumeTokenLifetime = minutes(15);
    /** Longest wait in the queue; a class with a shorter completion target uses that instead. */
    Duration queueLimit = seconds(30);
    /** Deadline of a call to a plain service, from the arrival of the request. */
    Duration serviceLimit = seconds(15);
    /** Attempts of a repeatable service call. */
    unsigned maximumServiceAttempts = 3;
    /** Gap deadlines, attempts and buffer limits of generations. */
    RelayLimits relay;
    /** How long stop() waits beyond its deadline for streams to write their last event. */
    Duration drainGrace = seconds(2);
};

}
