#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/ConnectionWatch.h>

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace Lovageward {

/**
 * Shuts down the receiving side of connections whose request is overdue, from one thread. The connection's own thread then reads the end of the
 * stream and can still answer. POCO's timeouts bound each receive only, so a sender of single bytes would never be late for them.
 * Thread-safe; its mutex is a leaf lock.
 */
class ConnectionGuard
{
public:
    /** `limit` is the time from the first byte of a request to its last one. */
    ConnectionGuard(const Clock &clock, Duration limit);
    ~ConnectionGuard();

    ConnectionGuard(const ConnectionGuard &) = delete;
    ConnectionGuard &operator=(const ConnectionGuard &) = delete;

    /** Ends the idle connections and lets the others end after their request. */
    void beginClosing();

private:
    friend class GuardedConnection;

    void run();
    /** Needs the mutex. */
    void shutDown(ConnectionWatch::Id id);

    const Clock &clock;
    Duration limit;
    std::mutex mutex;
    std::condition_variable changed;
    ConnectionWatch watch;
    std::map<ConnectionWatch::Id, Poco::Net::StreamSocket> sockets;
    bool isStopping = false;
    std::thread thread;
};

/** Registers one connection with the guard for the life of the object, which must end before the socket is closed. */
class GuardedConnection
{
public:
    GuardedConnection(ConnectionGuard &guard, const Poco::Net::StreamSocket &socket);
    ~GuardedConnection();

    GuardedConnection(const GuardedConnection &) = delete;
    GuardedConnection &operator=(const GuardedConnection &) = delete;

    /** See ConnectionWatch. */
    bool acceptsRequests() const;
    bool beginRequest();
    bool endArrival();
    void endRequest();

private:
    ConnectionGuard &guard;
    ConnectionWatch::Id id;
};

}
