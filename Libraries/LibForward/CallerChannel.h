#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Error.h>
#include <LibCore/MemoryAccount.h>
#include <LibCore/MinimumDataRate.h>
#include <LibForward/SocketChannel.h>
#include <LibGateway/ConfigHolder.h>
#include <LibGateway/ForwardedRequest.h>
#include <LibHttp/ConnectionMemory.h>
#include <LibHttp/Listener.h>
#include <LibHttp1/MessageHead.h>

#include <atomic>
#include <optional>
#include <string>

namespace Lovageward {

/** Drain state of the node, shared with all caller connections. Thread-safe. */
class DrainState
{
public:
    DrainState();
    ~DrainState();

    DrainState(const DrainState &) = delete;
    DrainState &operator=(const DrainState &) = delete;

    /** Starts draining: open connections are closed after their current request. `endsAt` is the time at which the process exits. */
    void begin(TimePoint endsAt);

    /** Closes idle connections immediately. */
    void closeIdleConnections();

    bool isDraining() const;

    /** True once the load balancer has stopped routing to this node; requests that still arrive come from callers that reconnect by themselves. */
    bool hasClosedIdleConnections() const;

    /** Time at which the process exits; requests that would take longer are rejected. */
    TimePoint endsAt() const;

    /** The deadline, or if it comes first, the time at which a request without a response has to be answered because the process is about to exit. */
    TimePoint limitDeadline(TimePoint deadline) const;

    /** File descriptor that becomes readable when idle connections are to be closed. */
    int descriptor() const
    {
        return this->pipeDescriptors[0];
    }

private:
    int pipeDescriptors[2] = { -1, -1 };
    std::atomic<bool> hasBegun = false;
    std::atomic<bool> hasClosedIdle = false;
    std::atomic<Duration::rep> shutdownTime = 0;
};

/** A request as received from a caller. */
struct ReceivedRequest
{
    RequestHead head;
    std::string body;
    bool hasBody = false;
    TimePoint arrivedAt;
};

/** Limits on what a connection may take up beyond the limits of single requests. */
struct ConnectionLimits
{
    /** Bytes of further requests that are received while a response is pending. The rest waits in the kernel. */
    std::size_t readAheadBytes = 16'384;
    /** Rate at which a request's body has to arrive. */
    DataRateLimit bodyRate { 1'024, seconds(5) };
    /** Time for which a body waits for memory before it is rejected. */
    Duration memoryWait = seconds(1);
};

/** Dependencies of a CallerChannel. All references must outlive it. */
struct CallerChannelDependencies
{
    const Clock &clock;
    const ConfigHolder &config;
    const DrainState &drain;
    MemoryAccount &memory;
    Counters &counters;
    ConnectionLimits limits;
    /** The address on which the connection was accepted. */
    ListenerId listener = {};
};

/**
 * HTTP/1.1 server side of one caller's connection: reads requests within the configured limits and writes responses. Memory for a body is reserved before
 * the body is received.
 */
class CallerChannel
{
public:
    CallerChannel(const CallerChannelDependencies &dependencies, const Poco::Net::StreamSocket &socket);
    ~CallerChannel() = default;

    CallerChannel(const CallerChannel &) = delete;
    CallerChannel &operator=(const CallerChannel &) = delete;

    /**
     * Waits for the next request. Returns nothing if the caller disconnected, the idle timeout passed, or the node drains.
     * Throws Error for a request that is too large, too slow or malformed; the connection must be closed after the error response.
     */
    std::optional<ReceivedRequest> readRequest();

    /** True if the caller closed its connection. Receives further requests up to the read-ahead limit. Doesn't block. */
    bool isDisconnected();

    /**
     * Called by the account from other threads: the connection is closed, after a rejection if a request has begun. Returns false for a connection whose next
     * request has arrived, or whose request is being served; its end is never caused from here.
     */
    bool requestRelease(ClientWait wait)
    {
        return this->memory.requestRelease(wait);
    }

    /**
     * Writes a complete response, to whose head the framing is added. Returns false if the caller disconnected, or if a stream has begun, since no second
     * response may be written into it.
     */
    bool sendResponse(ResponseHead head, const std::string &body, bool isKeepAlive);

    /** Begins a chunked response, which endStream() completes. Returns false if the caller disconnected, as do the two functions below. */
    bool beginStream(ResponseHead head, bool isKeepAlive);
    bool sendChunk(std::string_view bytes);
    bool endStream();

    /** Closes the connection so that an unfinished response doesn't look complete. */
    void abort();

    /** The caller's connection, to wait until isDisconnected() may have changed. */
    WatchedDescriptor descriptor() const
    {
        return { this->channel.descriptor(), this->isReadAheadFull() };
    }

private:
    bool isReadAheadFull() const
    {
        return this->channel.buffer().size() >= this->dependencies.limits.readAheadBytes;
    }

    bool awaitNextRequest();
    /** Waits for the first request of a new connection. Returns false if none arrives in time, or the caller disconnected. */
    bool awaitFirstRequest();
    TimePoint idleDeadline(TimePoint idleSince) const;
    CallerLimits limits() const;
    /** Waits for more bytes. Returns false if the caller disconnected. Throws Error(RequestTooSlow) at the deadline. */
    bool receiveMore(TimePoint deadline);
    bool readBody(ReceivedRequest &request, const CallerLimits &limits);
    /** Throws Error(NoCapacity) if a request has arrived on a connection that was released while it was idle. */
    void rejectLateRequest() const;
    /** Polls, and tells the account for that time that this connection waits for its caller. */
    bool waitFor(DescriptorPoller &poller, TimePoint deadline, ClientWait wait);

    CallerChannelDependencies dependencies;
    const Clock &clock;
    const ConfigHolder &config;
    const DrainState &drain;
    SocketChannel channel;
    ConnectionMemory memory;
    /** True if the read-ahead limit was reached on this connection. */
    bool hasReachedReadAhead = false;
    bool hasClosed = false;
    bool hasReceivedRequest = false;
    /** True between beginStream() and endStream(). */
    bool isStreaming = false;
};

}
