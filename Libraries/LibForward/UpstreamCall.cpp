#include <LibForward/UpstreamCall.h>

#include <LibCore/Error.h>
#include <LibHttp/Listener.h>
#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/MessageFraming.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Maximum number of receives per advance(), so that a fast upstream doesn't delay the checks of deadlines and of the caller's connection. */
constexpr int maximumReceives = 16;

/** Step in which the reservation of a response's body grows. */
constexpr std::uint64_t reservationStep = 65'536;

/** Statuses below are interim (1xx) and precede the final response. */
constexpr int firstFinalStatus = 200;

}

UpstreamCall::UpstreamCall(
    const Clock &clock, MemoryAccount &memory, const std::string &address, const std::string &method, TimePoint connectDeadline, const ResponseLimits &limits)
    : clock(clock)
    , method(method)
    , limits(limits)
    , sendTime(clock.now())
    , channel(SocketChannel::connect(clock, address, connectDeadline))
    , bodyMemory(memory, MemoryPurpose::Response)
    , unreadMemory(memory, MemoryPurpose::ReceiveBuffer)
{
    // The limit on connections bounds the number of calls.
    this->unreadMemory.charge(defaultUnreadBytes);
}

void UpstreamCall::reserveBody(std::size_t bytes)
{
    this->isMemoryShort = false;
    if (bytes > std::max<std::uint64_t>(unreservedBodyBytes, this->bodyMemory.bytes())) {
        this->isMemoryShort = !this->bodyMemory.tryGrow(std::max<std::uint64_t>(this->bodyMemory.bytes() + reservationStep, bytes));
    }
}

void UpstreamCall::send(std::string_view head, std::string_view body, TimePoint deadline)
{
    this->sendTime = this->clock.now();
    if (!this->channel.writeParts({ head, body }, deadline)) {
        this->advance();
    }
}

UpstreamCall::State UpstreamCall::advance()
{
    auto isOpen = [this] { return this->currentState == State::AwaitingHead || this->currentState == State::Receiving; };
    for (int receives = 0; receives < maximumReceives && isOpen() && !this->isBodyBufferFull(); ++receives) {
        switch (this->channel.receive()) {
        case SocketChannel::ReceiveResult::Data:
            this->decode();
            break;
        case SocketChannel::ReceiveResult::WouldBlock:
            return this->currentState;
        case SocketChannel::ReceiveResult::Closed:
            this->connectionEnded = true;
            if (this->decoder && this->decoder->handleConnectionClosed() == BodyDecoder::State::Complete) {
                this->currentState = State::Complete;
            } else {
                this->fail("the connection was closed before the response was complete");
            }
            break;
        case SocketChannel::ReceiveResult::Failed:
            this->connectionEnded = true;
            this->fail(fmt::format("the connection failed: {}", this->channel.error().message()));
            break;
        }
    }
    return this->currentState;
}

void UpstreamCall::decode()
{
    try {
        while (!this->decoder) {
            if (!this->processHead()) {
                return;
            }
        }
    } catch (const Error &error) {
        this->fail(error.what());
        return;
    }
    auto previousSize = this->bodyBuffer.size();
    auto nextSize = previousSize + this->channel.buffer().size();
    this->reserveBody(nextSize);
    if (nextSize > this->bodyBuffer.capacity() && 2 * nextSize > this->limits.bufferedBodyBytes) {
        // A string that grows by doubling would take up to twice the limit.
        this->bodyBuffer.reserve(std::max(nextSize, this->limits.bufferedBodyBytes + SocketChannel::receiveBytes));
    }
    auto state = this->decoder->decode(this->channel.buffer(), this->bodyBuffer);
    this->bodySize += this->bodyBuffer.size() - previousSize;
    if (this->bodySize > this->limits.bodyBytes) {
        this->failWithExceededLimit("body", this->limits.bodyBytes);
        return;
    }
    switch (state) {
    case BodyDecoder::State::NeedsMoreData:
        this->currentState = State::Receiving;
        break;
    case BodyDecoder::State::Complete:
        this->currentState = State::Complete;
        break;
    case BodyDecoder::State::Malformed:
        this->fail("the body is malformed");
        break;
    case BodyDecoder::State::LimitExceeded:
        this->failWithExceededLimit("framing", this->limits.lineBytes);
        break;
    }
}

bool UpstreamCall::processHead()
{
    auto head = extractHead(this->channel.buffer());
    if (!head) {
        if (this->channel.buffer().size() > this->limits.headBytes) {
            this->failWithExceededLimit("head", this->limits.headBytes);
        }
        return false;
    }
    if (head->size() > this->limits.headBytes) {
        this->failWithExceededLimit("head", this->limits.headBytes);
        return false;
    }
    auto parsed = decodeResponseHead(*head);
    if (parsed.status < firstFinalStatus) {
        this->interimSize += head->size();
        if (this->interimSize > this->limits.interimBytes) {
            this->failWithExceededLimit("interim", this->limits.interimBytes);
            return false;
        }
        return true;
    }
    auto framing = responseFraming(parsed, this->method);
    if (this->isProgressive && parsed.status == firstFinalStatus) {
        this->limits.bufferedBodyBytes = std::min(this->limits.bufferedBodyBytes, unreservedBodyBytes);
    }
    this->response = std::move(parsed);
    this->headTime = this->clock.now();
    this->decoder.emplace(framing.type, framing.length, FramingLimits { this->limits.lineBytes, this->limits.trailerBytes });
    return true;
}

void UpstreamCall::cancel()
{
    this->channel.abort();
    if (this->currentState != State::Complete) {
        this->fail("the call was cancelled");
    }
}

void UpstreamCall::fail(const std::string &reason)
{
    this->failure = reason;
    this->currentState = State::Failed;
}

void UpstreamCall::failWithExceededLimit(std::string_view limit, std::uint64_t bytes)
{
    this->exceeded = limit;
    this->fail(fmt::format("the response exceeds the limit '{}' of {} bytes", limit, bytes));
    // The upstream may never stop sending.
    this->channel.abort();
}

}
