#pragma once

#include <LibCore/Clock.h>
#include <LibCore/MemoryAccount.h>
#include <LibHttp/ConnectionPhase.h>
#include <LibHttp/EventDescriptor.h>
#include <LibHttp/RequestHandler.h>
#include <LibHttp/RequestServerSettings.h>
#include <LibHttp1/BodyDecoder.h>

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** What a connection of a RequestServer works with. All references must outlive it. */
struct ServedConnectionDependencies
{
    const Clock &clock;
    MemoryAccount &memory;
    RequestHandler &handler;
    /** Notified when the account releases the connection, which then has to be advanced. */
    EventDescriptor &wakeUp;
    RequestServerSettings settings;
    ListenerId listener;
};

/** A request that has arrived whole. */
struct ServedRequest
{
    RequestHead head;
    std::string body;
    /** False if the body, or what follows it, wasn't read. */
    bool isBodyRead = true;
};

/**
 * Server side of one HTTP/1.1 connection without a thread of its own: no call blocks. An incomplete request, or a response that the peer doesn't take, costs
 * no more than the connection's buffers. Used by one thread, except for requestRelease().
 */
class ServedConnection final : public MemoryHolder
{
public:
    ServedConnection(const ServedConnectionDependencies &dependencies, const Poco::Net::StreamSocket &socket);
    ~ServedConnection() override;

    ServedConnection(const ServedConnection &) = delete;
    ServedConnection &operator=(const ServedConnection &) = delete;

    int descriptor() const
    {
        return this->socket.impl()->sockfd();
    }

    /** Events that poll() has to wait for; 0 while the request is being handled. */
    short awaitedEvents() const;

    /** Time at which advance() has to be called at the latest; nothing while the request is being handled. */
    std::optional<TimePoint> nextDeadline() const;

    /** Receives and sends what is possible, and acts on a deadline that has passed or a release. */
    void advance();

    /** Takes the request that has arrived. Each taken request has to be answered with respond(). */
    std::optional<ServedRequest> takeRequest();

    void respond(const ServedRequest &request, ServedResponse response);

    /** Ends the connection unless a request is being handled or answered, and gives an answer until the deadline to be taken. */
    void beginClosing(TimePoint answerDeadline);

    /** Closes the connection if the account has released it. */
    void closeIfReleased();

    bool isClosed() const
    {
        return this->state == State::Closed;
    }

    /** Called by the account from any thread. */
    bool requestRelease(ClientWait wait) override;

private:
    enum class State {
        Idle,
        Receiving,
        /** The request waits for takeRequest(). */
        Received,
        Handling,
        Sending,
        /** The response was sent before the whole request was read, whose rest is received and dropped: a reset could destroy the response on its way. */
        Discarding,
        Closed,
    };

    void receive();
    void discard();
    /** Decodes what was received. Throws Error for a request that can't be accepted. */
    void decode();
    /** Returns false while the head is incomplete. */
    bool decodeHead();
    bool decodeBody();
    void completeRequest(bool isBodyRead);
    void beginSending(std::string bytes);
    void send();
    void finishResponse();
    void refuse(const Error &error);
    void handleDeadline();
    void releaseMemory(MemoryPurpose purpose, std::uint64_t &reserved);
    void wait(State next, ClientWait wait, TimePoint until);
    void close();

    ServedConnectionDependencies dependencies;
    Poco::Net::StreamSocket socket;
    ConnectionPhase phase;
    State state = State::Idle;
    TimePoint deadline;
    std::string received;
    std::optional<RequestHead> head;
    std::optional<BodyDecoder> decoder;
    std::string body;
    std::uint64_t reservedBodyBytes = 0;
    std::uint64_t reservedResponseBytes = 0;
    std::optional<ServedRequest> request;
    std::string output;
    std::size_t sentBytes = 0;
    /** True if the connection is closed after the response. */
    bool isLast = false;
    /** True if the rest of the request has to be dropped before. */
    bool isRestUnread = false;
    std::size_t discardedBytes = 0;
    /** Time until which an answer may be taken while the server closes. */
    std::optional<TimePoint> closeBy;
    MemoryClientId client;
};

}
