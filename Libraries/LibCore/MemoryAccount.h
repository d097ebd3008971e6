#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace Lovageward {

using MemoryClientId = NumberId<struct MemoryClientTag>;

/** What reserved memory is used for. */
enum class MemoryPurpose {
    /** Thread stack, buffers and state of a client's connection. */
    Connection,
    /** Request bodies, from their arrival until the request has ended. */
    Body,
    /** Response bodies that the client hasn't taken yet. */
    Response,
};

inline constexpr std::size_t memoryPurposeCount = 3;

/** What a client's connection waits for. Only a client that waits for its peer is asked to give up its memory. */
enum class ClientWait {
    /** The next request, of which no byte has arrived. */
    Idle,
    /** The rest of a request. */
    Receiving,
};

/** Owner of a client's memory. */
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;

    /**
     * Asks the holder, which waited for what `wait` says, to close its connection soon. Returns false if it waits no longer. Called with the account locked, so
     * it must neither block nor call the account.
     */
    virtual bool requestRelease(ClientWait wait) = 0;
};

/** Limits of a MemoryAccount. */
struct MemoryLimits
{
    /** Sum of all reservations in bytes. */
    std::uint64_t totalBytes = 0;
    /** Bytes charged for each connection. */
    std::uint64_t connectionBytes = 0;
    /** Time for which a client must have waited for its peer before it is asked to give up its memory. */
    Duration minimumWait = milliseconds(250);
};

/**
 * Account of the bytes that the node holds for clients. It is made for many clients that send large bodies at once, stop before the end, or stay idle:
 * memory is reserved before it is used, a reservation that doesn't fit is refused, and the client that holds most among those that keep the node waiting
 * is asked to give up. Does no I/O. Thread-safe; its mutex is a leaf lock.
 */
class MemoryAccount
{
public:
    MemoryAccount(const Clock &clock, const MemoryLimits &limits);

    /** Registers a connection and charges its fixed part, even beyond the limit: the number of connections has a limit of its own. */
    MemoryClientId addClient(MemoryHolder &holder);

    /** Releases everything that the client holds. The holder isn't called afterwards. */
    void removeClient(MemoryClientId client);

    /**
     * Reserves further bytes if they and `headroom` fit. A body that begins to grow passes the size that it may reach as headroom, so that bodies that
     * have begun can end. If they don't fit, asks a client that keeps the node waiting to give up, and returns false; the caller tries again or gives up.
     */
    bool tryReserve(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes, std::uint64_t headroom = 0);

    /** As tryReserve(), for memory that no single client holds. */
    bool tryReserveShared(MemoryPurpose purpose, std::uint64_t bytes);

    void release(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes);
    void releaseShared(MemoryPurpose purpose, std::uint64_t bytes);

    void beginWait(MemoryClientId client, ClientWait wait);
    void endWait(MemoryClientId client);

    /**
     * Asks the connection that has been idle for longest to close, because a new one needs its place. Returns false if none has been idle long enough.
     * Connections whose next request has arrived keep their place.
     */
    bool closeLongestIdle();

    std::uint64_t usedBytes() const;
    std::uint64_t usedBytes(MemoryPurpose purpose) const;

    std::uint64_t totalBytes() const
    {
        return this->limits.totalBytes;
    }

    /** Reservations that were refused, and clients that were asked to give up. */
    std::uint64_t refusedReservations() const;
    std::uint64_t releaseRequests() const;

private:
    struct Client
    {
        MemoryHolder *holder = nullptr;
        std::uint64_t bytes = 0;
        std::optional<ClientWait> wait;
        TimePoint waitingSince;
        bool isReleaseRequested = false;
    };

    bool fits(std::uint64_t bytes) const;
    void add(MemoryPurpose purpose, std::uint64_t bytes);
    void subtract(MemoryPurpose purpose, std::uint64_t bytes);
    bool hasWaitedLongEnough(const Client &client) const;
    void askLargestWaiting();
    /** Returns false if the client no longer waits. */
    bool requestRelease(Client &client);

    const Clock &clock;
    MemoryLimits limits;
    mutable std::mutex mutex;
    std::map<MemoryClientId, Client> clients;
    std::uint64_t lastClient = 0;
    std::uint64_t used = 0;
    std::array<std::uint64_t, memoryPurposeCount> usedByPurpose {};
    std::uint64_t refused = 0;
    std::uint64_t requests = 0;
};

}
