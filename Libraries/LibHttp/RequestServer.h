#pragma once

#include <LibCore/Clock.h>
#include <LibCore/MemoryAccount.h>
#include <LibHttp/EventDescriptor.h>
#include <LibHttp/RequestHandler.h>
#include <LibHttp/RequestServerSettings.h>
#include <LibHttp/ServedConnection.h>

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Lovageward {

using ServedConnectionId = NumberId<struct ServedConnectionTag>;

/**
 * HTTP/1.1 server for the rare requests of operators, load balancers and peers, from construction to destruction. One thread waits for all connections, so
 * that clients that don't finish their request, or don't take their response, keep no other one from being answered; threads are only used by requests that
 * have arrived whole. With all places taken, a new connection gets that of another client that keeps the server waiting.
 */
class RequestServer
{
public:
    /** The account and the handler must outlive the server. Throws Poco::Exception if the listener's address can't be read. */
    RequestServer(
        const Clock &clock, MemoryAccount &memory, RequestHandler &handler, const Poco::Net::ServerSocket &listener, const RequestServerSettings &settings);

    /** Ends idle connections and unfinished requests, and waits for the responses to running ones. */
    ~RequestServer();

    RequestServer(const RequestServer &) = delete;
    RequestServer &operator=(const RequestServer &) = delete;

    std::uint16_t port() const;

private:
    struct Job
    {
        ServedConnectionId connection;
        ServedRequest request;
    };

    struct Result
    {
        Job job;
        ServedResponse response;
    };

    using Connections = std::map<ServedConnectionId, std::unique_ptr<ServedConnection>>;

    /** Serves the connections until the server closes and no request is left. */
    void run();
    /** Handles requests until the server closes. */
    void handleJobs();
    void handle(Job job);
    void acceptConnections();
    /** Returns false while the requests of all connections are being handled. */
    bool makePlace();
    void deliverResults();
    void takeRequest(ServedConnectionId id, ServedConnection &connection);
    void beginClosing();
    void removeClosed();

    const Clock &clock;
    MemoryAccount &memory;
    RequestHandler &handler;
    Poco::Net::ServerSocket listener;
    RequestServerSettings settings;
    ListenerId listenerId;
    EventDescriptor wakeUp;

    // Used by the thread of run() only.
    Connections connections;
    std::uint64_t lastConnection = 0;
    bool isClosing = false;
    bool hasPlaces = true;

    std::atomic<bool> isStopRequested = false;
    std::mutex mutex;
    std::condition_variable jobAdded;
    std::deque<Job> jobs;
    std::vector<Result> results;
    bool isEnded = false;

    std::vector<std::thread> workers;
    std::thread loop;
};

}
