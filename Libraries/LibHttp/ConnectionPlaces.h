#pragma once

#include <LibCore/MemoryAccount.h>

#include <Poco/Net/TCPServer.h>

#include <atomic>
#include <cstddef>

namespace Lovageward {

/** Learns of connections that are closed or refused because all places are taken. Thread-safe. */
class PlaceObserver
{
public:
    virtual ~PlaceObserver() = default;

    /** A connection that waited for what `released` says is closed for a new one; `open` are open. */
    virtual void connectionReleased(ClientWait released, std::size_t open) = 0;

    /** A new connection is closed. */
    virtual void connectionRefused(std::size_t open) = 0;
};

/**
 * The places of a listening address whose connections have a thread each. It is made for clients that open many connections and leave them idle, or never
 * finish their request: a new connection waits for a thread while another one is asked to give up its place, and is refused only if too many wait.
 */
class ConnectionPlaces
{
public:
    /** `maximumConnections` is the largest number of connections that have a thread at the same time. */
    ConnectionPlaces(MemoryAccount &memory, ListenerId listener, std::size_t maximumConnections, PlaceObserver &observer);

    /** Connections that may be accepted beyond the maximum and wait for a thread. */
    static std::size_t queuedConnections(std::size_t maximumConnections);

    /** Counts an accepted connection, and charges what the kernel may hold of it unread. Returns false if it has to be closed. For one thread. */
    bool tryAdd();

    /** The connection has been closed. */
    void remove();

    /** Makes a place for another waiting connection, if there is one. To be called by each connection that gets a thread. */
    void makePlaceForWaiting();

    /** True while accepted connections wait because all threads are in use, not for the moment that a connection takes to get its thread. */
    bool hasWaitingConnections() const
    {
        return this->acceptedConnections > this->maximumConnections;
    }

    ListenerId listener() const
    {
        return this->listenerId;
    }

private:
    void makePlace();

    MemoryAccount &memory;
    ListenerId listenerId;
    std::size_t maximumConnections;
    std::size_t maximumAccepted;
    PlaceObserver &observer;
    std::atomic<std::size_t> acceptedConnections = 0;
};

/** Lets a POCO server accept connections only while there are places. */
class PlaceFilter final : public Poco::Net::TCPServerConnectionFilter
{
public:
    explicit PlaceFilter(ConnectionPlaces &places) : places(places)
    {
    }

    bool accept(const Poco::Net::StreamSocket & /*socket*/) override
    {
        return this->places.tryAdd();
    }

private:
    ConnectionPlaces &places;
};

}
