#pragma once

#include <LibCore/Clock.h>
#include <LibCore/MemoryReservation.h>
#include <LibForward/ResponseLimits.h>
#include <LibForward/SocketChannel.h>
#include <LibHttp1/BodyDecoder.h>
#include <LibHttp1/MessageHead.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/**
 * One request to an upstream on its own connection. A new connection proves that the path works, can't carry a late response to another request,
 * and lets the upstream detect by its closing that the request was cancelled. Memory use is bounded by ResponseLimits.
 */
class UpstreamCall
{
public:
    enum class State {
        /** The response head is incomplete. */
        AwaitingHead,
        /** The body is arriving. */
        Receiving,
        Complete,
        /** The connection failed, or the bytes aren't a valid response within the limits. */
        Failed,
    };

    /** Connects to "IP:port". Throws Poco::Exception if that fails or the deadline passes, in which case nothing was sent. */
    UpstreamCall(const Clock &clock,
                 MemoryAccount &memory,
                 const std::string &address,
                 const std::string &method,
                 TimePoint connectDeadline,
                 const ResponseLimits &limits);
    ~UpstreamCall() = default;

    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /**
     * Sends the encoded head and the body of the request. A failed write isn't final, because the upstream may respond before it has read the whole request.
     * But if the connection has failed, a response without length and chunks is incomplete, since only an orderly close marks its end.
     */
    void send(std::string_view head, std::string_view body, TimePoint deadline);

    /** From the head of a successful response on, no more of its body is buffered than the charge of the caller's connection covers. */
    void forwardProgressively()
    {
        this->isProgressive = true;
    }

    /** Receives and decodes a bounded amount of available bytes. Never blocks, and never throws for malformed responses. */
    State advance();

    State state() const
    {
        return this->currentState;
    }

    /** Response head; valid if hasHead(). */
    const ResponseHead &head() const
    {
        return *this->response;
    }

    bool hasHead() const
    {
        return this->response.has_value();
    }

    /** Decoded body bytes. The reader may remove them. */
    std::string &body()
    {
        return this->bodyBuffer;
    }

    /** True if the body buffer has reached its limit, which is lower while the node is short of memory. No more is received until the reader removes bytes. */
    bool isBodyBufferFull() const
    {
        return this->bodyBuffer.size() > (this->isMemoryShort ? unreservedBodyBytes : this->limits.bufferedBodyBytes);
    }

    /** Why the call failed; empty otherwise. */
    const std::string &failureReason() const
    {
        return this->failure;
    }

    /**
     * True if the upstream closed or reset the connection before the end of the response, as it does when its process ends. Also true after a response
     * without length and chunks, which only its content shows to be incomplete.
     */
    bool hasConnectionEnded() const
    {
        return this->connectionEnded;
    }

    /** Name of the limit that the response exceeded, as in the metrics; empty if none. */
    std::string_view exceededLimit() const
    {
        return this->exceeded;
    }

    /** Time at which the request was sent; the time of the connection attempt before send(). */
    TimePoint sentAt() const
    {
        return this->sendTime;
    }

    /** Time at which the response head was received; valid if hasHead(). */
    TimePoint headReceivedAt() const
    {
        return this->headTime;
    }

    int descriptor() const
    {
        return this->channel.descriptor();
    }

    /** Resets the connection, upon which the upstream stops processing the request. */
    void cancel();

private:
    /** Size of the body buffer that needs no reservation, since the charge of the caller's connection covers it. */
    static constexpr std::size_t unreservedBodyBytes = 32'768;

    /** Reserves memory so that the body buffer can grow to the size, or notes that there is none. */
    void reserveBody(std::size_t bytes);
    void decode();
    bool processHead();
    void fail(const std::string &reason);
    void failWithExceededLimit(std::string_view limit, std::uint64_t bytes);

    const Clock &clock;
    std::string method;
    ResponseLimits limits;
    TimePoint sendTime;
    TimePoint headTime;
    SocketChannel channel;
    std::optional<ResponseHead> response;
    std::optional<BodyDecoder> decoder;
    std::string bodyBuffer;
    /** Body bytes decoded so far, including removed ones. */
    std::uint64_t bodySize = 0;
    /** Bytes of interim heads received so far. */
    std::size_t interimSize = 0;
    std::string failure;
    std::string_view exceeded;
    bool connectionEnded = false;
    MemoryReservation bodyMemory;
    /** Bytes that the kernel may hold unread. */
    MemoryReservation unreadMemory;
    bool isProgressive = false;
    bool isMemoryShort = false;
    State currentState = State::AwaitingHead;
};

}
