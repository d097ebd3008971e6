#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Lovageward {

using MemoryClientId = NumberId<struct MemoryClientTag>;
/** A listening address. Its connections only take places of its own. */
using ListenerId = NumberId<struct ListenerTag>;

/** What reserved memory is used for. */
enum class MemoryPurpose {
    /** Thread stack, buffers and state of a client's connection. */
    Connection,
    /** Bytes that have arrived at a socket and that the kernel holds until they are read. */
    ReceiveBuffer,
    /** Request bodies, from their arrival until the request has ended. */
    Body,
    /** Response bodies that the client hasn't taken yet. */
    Response,
    /** Events of streams whose end hasn't arrived yet. */
    Event,
};

inline constexpr std::size_t memoryPurposeCount = 5;

/** What a client's connection waits for. Only a client that waits for its peer is asked to give up its memory. */
enum class ClientWait {
    /** The next request, of which no byte has arrived. */
    Idle,
    /** The rest of a request. */
    Receiving,
    /** The peer, to take the rest of a response. */
    Sending,
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

/** Where a connection comes from. */
struct ClientOrigin
{
    ListenerId listener;
    /** IP address of the client. */
    std::string address;
};

/** Limits on the connections of one listening address. */
struct ListenerLimits
{
    /** Bytes charged for each connection. */
    std::uint64_t connectionBytes = 0;
    /** Time for which a connection must have been idle before a new one may take its place. */
    Duration idleTime = milliseconds(250);
    /** Time since a request began to arrive, or its response to be sent, after which a new connection may take the place; without value never. */
    std::optional<Duration> unfinishedTime;
};

/** Limits of a MemoryAccount. */
struct MemoryLimits
{
    /** Sum of all reservations in bytes. */
    std::uint64_t totalBytes = 0;
    /** Bytes charged for each connection of the default listening address. */
    std::uint64_t connectionBytes = 0;
    /** Time for which a client must have waited for its peer before it is asked to give up its memory. */
    Duration minimumWait = milliseconds(250);
    /** Part of the total that bodies leave to all other purposes, so that large requests never keep small ones from being served. */
    std::uint64_t bytesWithoutBodies = 0;
};

/**
 * The account of the bytes that the process holds for clients and upstreams, including those that wait in the kernel. It is made for clients outside our
 * control: many that send large bodies at once, stop before the end, send requests without reading responses, or open connections and leave them. Memory
 * is reserved before it is used, a reservation that doesn't fit is refused, and the client that holds most among those that keep the node waiting is asked
 * to give up. If all places of a listening address are taken, the connection that is asked to give its place to a new one comes from the client address with
 * the most connections there, so that a client with few connections keeps them. Does no I/O. Thread-safe; its mutex is a leaf lock.
 */
class MemoryAccount
{
public:
    MemoryAccount(const Clock &clock, const MemoryLimits &limits);

    /** Registers a further listening address. The default one, ListenerId(), needs no registration. */
    ListenerId addListener(const ListenerLimits &listenerLimits);

    /** Registers a connection and charges its fixed part, even beyond the limit: the number of connections has a limit of its own. */
    MemoryClientId addClient(MemoryHolder &holder, const ClientOrigin &origin = {});

    /** Releases everything that the client holds. The holder isn't called afterwards. */
    void removeClient(MemoryClientId client);

    /**
     * Reserves further bytes if they and `headroom` fit. A body that begins to grow passes the size that it may reach as headroom, so that bodies that
     * have begun can end. If they don't fit, asks a client that keeps the node waiting to give up, and returns false; the caller tries again or gives up.
     */
    bool tryReserve(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes, std::uint64_t headroom = 0);

    /** As tryReserve(), for memory that no single client holds. */
    bool tryReserveShared(MemoryPurpose purpose, std::uint64_t bytes);

    /** Charges memory even beyond the limit, where a limit on connections bounds the sum. */
    void chargeShared(MemoryPurpose purpose, std::uint64_t bytes);

    void release(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes);
    void releaseShared(MemoryPurpose purpose, std::uint64_t bytes);

    void beginWait(MemoryClientId client, ClientWait wait);
    void endWait(MemoryClientId client);

    /** The request has arrived whole, or its response has been taken: the next wait is for another one. */
    void endStage(MemoryClientId client);

    /**
     * Asks a connection of the listening address to close, because a new one needs its place. Returns what it waited for; nothing if none may give its place
     * yet. Connections whose request is being served keep their place.
     */
    std::optional<ClientWait> makePlace(ListenerId listener);

    /** True if the reservations exceed the limit. */
    bool isExhausted() const;

    std::uint64_t usedBytes() const;
    std::uint64_t usedBytes(MemoryPurpose purpose) const;

    std::uint64_t totalBytes() const
    {
        return this->limits.totalBytes;
    }

    /** Largest sum of all bodies. */
    std::uint64_t bodyBytes() const
    {
        return this->limits.totalBytes - this->limits.bytesWithoutBodies;
    }

    /** Reservations that were refused, and clients that were asked to give up. */
    std::uint64_t refusedReservations() const;
    std::uint64_t releaseRequests() const;

private:
    struct Client
    {
        MemoryHolder *holder = nullptr;
        ClientOrigin origin;
        std::array<std::uint64_t, memoryPurposeCount> bytesByPurpose {};
        std::uint64_t bytes = 0;
        std::optional<ClientWait> wait;
        TimePoint waitingSince;
        /** What the client has waited for since `stageSince`, also between two waits. */
        std::optional<ClientWait> stage;
        TimePoint stageSince;
        bool isReleaseRequested = false;
    };

    bool fits(MemoryPurpose purpose, std::uint64_t bytes) const;
    void add(MemoryPurpose purpose, std::uint64_t bytes);
    void subtract(MemoryPurpose purpose, std::uint64_t bytes);
    const ListenerLimits &listenerLimits(ListenerId listener) const;
    bool hasWaitedLongEnough(const Client &client) const;
    bool mayGivePlace(const Client &client) const;
    void askLargestWaiting();
    /** Returns false if the client no longer waits. */
    bool requestRelease(Client &client);

    const Clock &clock;
    MemoryLimits limits;
    mutable std::mutex mutex;
    std::vector<ListenerLimits> listeners;
    std::map<MemoryClientId, Client> clients;
    std::uint64_t lastClient = 0;
    std::uint64_t used = 0;
    std::array<std::uint64_t, memoryPurposeCount> usedByPurpose {};
    std::uint64_t refused = 0;
    std::uint64_t requests = 0;
};

}
