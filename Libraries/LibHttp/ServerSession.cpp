#include <LibHttp/ServerSession.h>

#include <LibCore/Error.h>
#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/HeadEncoder.h>

#include <Poco/Clock.h>
#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

#include <sys/socket.h>

namespace Lovageward {

namespace {

constexpr std::size_t receiveBytes = 16'384;

constexpr Poco::Timespan::TimeDiff discardMicroseconds = 500'000;
constexpr std::size_t maximumDiscardedBytes = 4'194'304;

[[noreturn]] void refuse(ResultCode code, const std::string &message)
{
    throw Error(code, RunState::NotRun, message);
}

}

ServerSession::ServerSession(const Poco::Net::StreamSocket &connected, ConnectionMemory &memory, const Clock &clock, const DataRateLimit &bodyRate)
    : socket(connected), memory(memory), clock(clock), bodyRate(bodyRate)
{
}

bool ServerSession::receive()
{
    std::array<char, receiveBytes> buffer {};
    try {
        WaitScope scope(this->memory, ClientWait::Receiving);
        auto count = this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        this->received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        return count > 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

bool ServerSession::awaitRequest(const Poco::Timespan &idleTime)
{
    if (!this->received.empty()) {
        return true;
    }
    try {
        {
            WaitScope scope(this->memory, ClientWait::Idle);
            if (!this->socket.poll(idleTime, Poco::Net::Socket::SELECT_READ)) {
                return false;
            }
        }
        return this->receive();
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::optional<RequestHead> ServerSession::readHead(const RequestSizeLimits &limits)
{
    if (!this->memory.beginReceiving()) {
        this->memory.rejectLateRequest();
    }
    auto rejectIfTooLarge = [&](std::size_t bytes) {
        if (bytes > limits.headBytes) {
            refuse(ResultCode::HeadersTooLarge, fmt::format("the request head is larger than {} bytes", limits.headBytes));
        }
    };
    auto bytes = extractHead(this->received);
    while (!bytes) {
        rejectIfTooLarge(this->received.size());
        if (!this->receive()) {
            this->memory.rejectIfReleased();
            return std::nullopt;
        }
        bytes = extractHead(this->received);
    }
    rejectIfTooLarge(bytes->size());
    auto head = decodeRequestHead(*bytes);
    if (head.fields.size() > limits.headerFields) {
        refuse(ResultCode::HeadersTooLarge, fmt::format("the request has more than {} header fields", limits.headerFields));
    }
    return head;
}

std::optional<std::string> ServerSession::readBody(const RequestHead &head, const RequestSizeLimits &limits)
{
    auto framing = requestFraming(head);
    auto rejectIfTooLarge = [&](std::uint64_t bytes) {
        if (bytes > limits.bodyBytes) {
            refuse(ResultCode::BodyTooLarge, fmt::format("the body is larger than {} bytes", limits.bodyBytes));
        }
    };
    rejectIfTooLarge(framing.length);
    constexpr int continueStatus = 100;
    auto expectsContinue = framing.type != BodyFraming::None && equalsIgnoringCase(head.fields.get("Expect"), "100-continue");
    if (expectsContinue && !this->write(encodeHead(ResponseHead { continueStatus, ReasonPhrase("Continue"), {} }))) {
        return std::nullopt;
    }
    std::string body;
    BodyDecoder decoder(framing.type, framing.length);
    auto largest = framing.type == BodyFraming::ContentLength ? framing.length : limits.bodyBytes;
    MinimumDataRate rate(this->bodyRate, this->clock.now());
    while (true) {
        auto arrived = this->received.size();
        this->memory.reserveBody(std::min<std::uint64_t>(body.size() + arrived, std::max<std::uint64_t>(largest, arrived)), largest);
        // Address space only: the kernel provides memory as the body arrives. Growing by doubling would take up to three times the size.
        if (body.size() + arrived > receiveBytes) {
            body.reserve(largest);
        }
        auto state = decoder.decode(this->received, body);
        rejectIfTooLarge(body.size());
        if (state == BodyDecoder::State::Complete) {
            if (!this->memory.beginServing()) {
                this->memory.rejectIfReleased();
            }
            return body;
        }
        if (state != BodyDecoder::State::NeedsMoreData) {
            refuse(ResultCode::BadRequest, "the body is malformed");
        }
        if (rate.isTooSlow(this->clock.now())) {
            refuse(ResultCode::RequestTooSlow, "the body arrives more slowly than the minimum rate");
        }
        auto remainder = this->received.size();
        if (!this->receive()) {
            this->memory.rejectIfReleased();
            return std::nullopt;
        }
        rate.countBytes(this->received.size() - remainder, this->clock.now());
    }
}

bool ServerSession::write(std::string_view bytes)
{
    try {
        while (!bytes.empty()) {
            auto count = this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

bool ServerSession::isClosedByPeer()
{
    try {
        char byte = 0;
        return this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && this->socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

void ServerSession::shutDown()
{
    try {
        this->socket.shutdown();
    } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the peer has closed the connection already.
    }
}

void ServerSession::discardRest()
{
    try {
        this->socket.shutdownSend();
        Poco::Clock begin;
        std::size_t discarded = 0;
        std::array<char, receiveBytes> block {};
        this->socket.setReceiveTimeout(Poco::Timespan(discardMicroseconds));
        while (discarded < maximumDiscardedBytes && !begin.isElapsed(discardMicroseconds)) {
            auto count = this->socket.receiveBytes(block.data(), static_cast<int>(block.size()));
            if (count <= 0) {
                return;
            }
            discarded += static_cast<std::size_t>(count);
        }
    } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the peer has gone or sends nothing, so there is nothing to discard.
    }
}

}
