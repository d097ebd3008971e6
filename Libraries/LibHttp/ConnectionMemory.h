#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Error.h>
#include <LibCore/MemoryAccount.h>
#include <LibHttp/ConnectionPhase.h>

#include <atomic>

namespace Lovageward {

/** Retry-After of a request for which there was no memory; bodies that are being served end within about a second. */
inline constexpr Duration memoryRetryAfter = seconds(1);

/** What the memory of a caller's connection depends on. All references must outlive it. */
struct ConnectionMemoryDependencies
{
    const Clock &clock;
    MemoryAccount &account;
    Counters &counters;
    /** Time for which a body waits for memory before it is rejected. */
    Duration memoryWait = seconds(1);
};

/**
 * The part that one caller's connection takes in the account: its place, its kernel buffer beyond the default size, and the body of its request. The account
 * may release the connection while it is idle or its request arrives; one whose request has arrived whole keeps its place.
 */
class ConnectionMemory final : public MemoryHolder
{
public:
    /** `descriptor` is the connection's socket, which stays open until close() or the end of this object. */
    ConnectionMemory(const ConnectionMemoryDependencies &dependencies, const ClientOrigin &origin, int descriptor);
    ~ConnectionMemory() override;

    ConnectionMemory(const ConnectionMemory &) = delete;
    ConnectionMemory &operator=(const ConnectionMemory &) = delete;

    /** Called by the account: ends the receiving side of the connection. */
    bool requestRelease(ClientWait wait) override;

    /** See ConnectionPhase. */
    bool beginReceiving()
    {
        return this->phase.beginReceiving();
    }
    bool beginServing();
    /** Also releases the memory of the request's body. */
    void endServing();

    bool isReleased() const
    {
        return this->phase.isReleased();
    }

    /** Throws Error(NoCapacity) if the connection was released while a request arrived. */
    void rejectIfReleased() const;

    /** Throws Error(NoCapacity) for a request that has arrived on a connection that was released while it was idle. */
    [[noreturn]] void rejectLateRequest() const;

    /** Reserves memory so that the body can grow to `bytes`, of at most `largest`. Throws Error(NoCapacity) if none is released in time. */
    void reserveBody(std::uint64_t bytes, std::uint64_t largest);

    /** Tell the account that the connection waits for its caller. */
    void beginWait(ClientWait wait);
    void endWait();

    /** True if bytes have arrived that weren't received. */
    bool hasUnreceivedBytes() const;

    /** To be called before the socket is closed: other threads don't use its descriptor afterwards. */
    void close();

private:
    void awaitMemory(TimePoint deadline);
    /** Lets more of a large body arrive at once, if there is memory. */
    void growReceiveBuffer();
    void releaseBody();

    ConnectionMemoryDependencies dependencies;
    int descriptor;
    ConnectionPhase phase;
    /** Bytes reserved for the body of the current request. */
    std::uint64_t reservedBodyBytes = 0;
    bool hasGrownReceiveBuffer = false;
    MemoryClientId client;
};

/** Tells the account for its lifetime that a connection waits for its caller. */
class WaitScope
{
public:
    WaitScope(ConnectionMemory &memory, ClientWait wait) : memory(memory)
    {
        this->memory.beginWait(wait);
    }

    ~WaitScope()
    {
        this->memory.endWait();
    }

    WaitScope(const WaitScope &) = delete;
    WaitScope &operator=(const WaitScope &) = delete;

private:
    ConnectionMemory &memory;
};

}
