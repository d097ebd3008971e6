#include <LibHttp/ServedConnection.h>

#include <LibCore/Error.h>
#include <LibHttp/ConnectionMemory.h>
#include <LibHttp/Listener.h>
#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/HeadEncoder.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace Lovageward {

namespace {

constexpr std::size_t receiveBytes = 16'384;

/** Bytes of a body and of a response that the fixed charge of a connection covers. */
constexpr std::uint64_t unreservedBytes = 16'384;

constexpr Duration discardTime = milliseconds(500);
constexpr std::size_t maximumDiscardedBytes = 4'194'304;

Error tooSlowError()
{
    return Error(ResultCode::RequestTooSlow, RunState::NotRun, "the request did not arrive in time");
}

Error noMemoryError(const std::string &purpose)
{
    return Error(ResultCode::NoCapacity, RunState::NotRun, "there is no memory for the " + purpose, memoryRetryAfter);
}

std::string encodeResponse(ServedResponse response, bool isHeadOnly, bool isLast)
{
    using Poco::Net::HTTPResponse;
    ReasonPhrase reason(HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(response.status)));
    ResponseHead head { response.status, std::move(reason), std::move(response.fields) };
    head.fields.add("Content-Length", std::to_string(response.body.size()));
    if (isLast) {
        head.fields.add("Connection", "close");
    }
    auto bytes = encodeHead(head);
    return isHeadOnly ? bytes : bytes.append(response.body);
}

}

ServedConnection::ServedConnection(const ServedConnectionDependencies &dependencies, const Poco::Net::StreamSocket &socket)
    : dependencies(dependencies), socket(socket), client(dependencies.memory.addClient(*this, { dependencies.listener, peerAddress(socket) }))
{
    this->socket.setBlocking(false);
    this->socket.setNoDelay(true);
    this->wait(State::Idle, ClientWait::Idle, this->dependencies.clock.now() + this->dependencies.settings.idleTimeout);
}

ServedConnection::~ServedConnection()
{
    this->dependencies.memory.removeClient(this->client);
}

bool ServedConnection::requestRelease(ClientWait wait)
{
    char byte = 0;
    auto hasArrived = wait == ClientWait::Idle && ::recv(this->descriptor(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
    if (hasArrived || !this->phase.release(wait)) {
        return false;
    }
    this->dependencies.wakeUp.notify();
    return true;
}

short ServedConnection::awaitedEvents() const
{
    switch (this->state) {
    case State::Idle:
    case State::Receiving:
    case State::Discarding:
        return POLLIN;
    case State::Sending:
        return POLLOUT;
    case State::Received:
    case State::Handling:
    case State::Closed:
        break;
    }
    return 0;
}

std::optional<TimePoint> ServedConnection::nextDeadline() const
{
    return this->awaitedEvents() == 0 ? std::nullopt : std::optional(this->deadline);
}

void ServedConnection::wait(State next, ClientWait wait, TimePoint until)
{
    this->state = next;
    this->deadline = until;
    this->dependencies.memory.beginWait(this->client, wait);
}

void ServedConnection::releaseMemory(MemoryPurpose purpose, std::uint64_t &reserved)
{
    if (reserved > 0) {
        this->dependencies.memory.release(this->client, purpose, std::exchange(reserved, 0));
    }
}

void ServedConnection::close()
{
    this->state = State::Closed;
    // Before the descriptor is closed, so that the account doesn't choose this connection any more.
    this->dependencies.memory.removeClient(this->client);
    this->socket.close();
}

void ServedConnection::closeIfReleased()
{
    if (!this->isClosed() && this->phase.isReleased()) {
        this->close();
    }
}

void ServedConnection::advance()
{
    this->closeIfReleased();
    if (this->state == State::Idle || this->state == State::Receiving) {
        this->receive();
    } else if (this->state == State::Sending) {
        this->send();
    } else if (this->state == State::Discarding) {
        this->discard();
    }
    auto due = this->nextDeadline();
    if (due && *due <= this->dependencies.clock.now()) {
        this->handleDeadline();
    }
}

void ServedConnection::handleDeadline()
{
    if (this->state == State::Receiving) {
        this->refuse(tooSlowError());
        return;
    }
    this->close();
}

void ServedConnection::receive()
{
    std::array<char, receiveBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): recv fills what is used.
    auto count = ::recv(this->descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        this->close();
        return;
    }
    this->received.append(bytes.data(), static_cast<std::size_t>(count));
    this->decode();
}

void ServedConnection::discard()
{
    std::array<char, receiveBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): as above.
    auto count = ::recv(this->descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    this->discardedBytes += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    if (count <= 0 || this->discardedBytes >= maximumDiscardedBytes) {
        this->close();
    }
}

void ServedConnection::decode()
{
    if (this->state == State::Idle) {
        if (!this->phase.beginReceiving()) {
            this->close();
            return;
        }
        this->wait(State::Receiving, ClientWait::Receiving, this->dependencies.clock.now() + this->dependencies.settings.requestTimeout);
    } else {
        // The sender isn't silent, so it isn't asked for its memory now.
        this->dependencies.memory.beginWait(this->client, ClientWait::Receiving);
    }
    try {
        if (this->decodeHead() && this->decodeBody()) {
            this->completeRequest(true);
        }
    } catch (const Error &error) {
        this->refuse(error);
    }
}

bool ServedConnection::decodeHead()
{
    if (this->head) {
        return true;
    }
    const auto &limits = this->dependencies.settings.limits;
    auto rejectIfTooLarge = [&limits](std::size_t bytes) {
        if (bytes > limits.headBytes) {
            throw Error(ResultCode::HeadersTooLarge, RunState::NotRun, fmt::format("the request head is larger than {} bytes", limits.headBytes));
        }
    };
    auto bytes = extractHead(this->received);
    if (!bytes) {
        rejectIfTooLarge(this->received.size());
        return false;
    }
    rejectIfTooLarge(bytes->size());
    this->head = decodeRequestHead(*bytes);
    if (this->head->fields.size() > limits.headerFields) {
        throw Error(ResultCode::HeadersTooLarge, RunState::NotRun, fmt::format("the request has more than {} header fields", limits.headerFields));
    }
    if (!this->dependencies.handler.acceptsBody(*this->head)) {
        this->completeRequest(false);
        return false;
    }
    auto framing = requestFraming(*this->head);
    if (framing.length > limits.bodyBytes) {
        throw Error(ResultCode::BodyTooLarge, RunState::NotRun, fmt::format("the body is larger than {} bytes", limits.bodyBytes));
    }
    this->decoder.emplace(framing.type, framing.length);
    if (framing.type != BodyFraming::None && equalsIgnoringCase(this->head->fields.get("Expect"), "100-continue")) {
        constexpr int continueStatus = 100;
        auto interim = encodeHead(ResponseHead { continueStatus, ReasonPhrase("Continue"), {} });
        // Fits the empty send buffer; a peer that doesn't get it sends its body after a time of its own.
        ::send(this->descriptor(), interim.data(), interim.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    return true;
}

bool ServedConnection::decodeBody()
{
    auto next = this->body.size() + this->received.size();
    if (next > std::max(unreservedBytes, this->reservedBodyBytes)) {
        auto step = next - this->reservedBodyBytes;
        if (!this->dependencies.memory.tryReserve(this->client, MemoryPurpose::Body, step)) {
            throw noMemoryError("body of this request");
        }
        this->reservedBodyBytes += step;
    }
    auto state = this->decoder->decode(this->received, this->body);
    const auto &limits = this->dependencies.settings.limits;
    if (this->body.size() > limits.bodyBytes) {
        throw Error(ResultCode::BodyTooLarge, RunState::NotRun, fmt::format("the body is larger than {} bytes", limits.bodyBytes));
    }
    if (state == BodyDecoder::State::Malformed || state == BodyDecoder::State::LimitExceeded) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, "the body is malformed");
    }
    return state == BodyDecoder::State::Complete;
}

void ServedConnection::completeRequest(bool isBodyRead)
{
    this->dependencies.memory.endWait(this->client);
    this->dependencies.memory.endStage(this->client);
    if (!this->phase.beginServing()) {
        this->close();
        return;
    }
    this->state = State::Received;
    this->request = ServedRequest { std::move(*this->head), std::move(this->body), isBodyRead };
    this->head.reset();
    this->decoder.reset();
    this->body = std::string();
}

std::optional<ServedRequest> ServedConnection::takeRequest()
{
    if (this->state != State::Received) {
        return std::nullopt;
    }
    this->state = State::Handling;
    return std::exchange(this->request, std::nullopt);
}

void ServedConnection::respond(const ServedRequest &request, ServedResponse response)
{
    this->releaseMemory(MemoryPurpose::Body, this->reservedBodyBytes);
    this->isRestUnread = !request.isBodyRead;
    this->isLast = this->isRestUnread || this->closeBy || !this->dependencies.settings.keepsConnections || !request.head.isKeepAlive();
    auto bytes = response.body.size();
    if (bytes > unreservedBytes) {
        if (this->dependencies.memory.tryReserve(this->client, MemoryPurpose::Response, bytes)) {
            this->reservedResponseBytes = bytes;
        } else {
            this->isLast = true;
            response = this->dependencies.handler.handleError(noMemoryError("response"));
        }
    }
    this->beginSending(encodeResponse(std::move(response), request.head.method.value() == "HEAD", this->isLast));
}

void ServedConnection::refuse(const Error &error)
{
    this->dependencies.memory.endWait(this->client);
    this->dependencies.memory.endStage(this->client);
    if (!this->phase.beginServing()) {
        this->close();
        return;
    }
    this->isRestUnread = true;
    this->isLast = true;
    this->beginSending(encodeResponse(this->dependencies.handler.handleError(error), false, true));
}

void ServedConnection::beginSending(std::string bytes)
{
    this->output = std::move(bytes);
    this->sentBytes = 0;
    this->phase.beginSending();
    auto until = this->dependencies.clock.now() + this->dependencies.settings.requestTimeout;
    this->wait(State::Sending, ClientWait::Sending, std::min(until, this->closeBy.value_or(until)));
    this->send();
}

void ServedConnection::send()
{
    auto count = ::send(this->descriptor(), this->output.data() + this->sentBytes, this->output.size() - this->sentBytes, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) {
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            this->close();
        }
        return;
    }
    this->sentBytes += static_cast<std::size_t>(count);
    if (this->sentBytes == this->output.size()) {
        this->finishResponse();
    } else {
        // The peer takes the response, so it isn't asked for its memory now.
        this->dependencies.memory.beginWait(this->client, ClientWait::Sending);
    }
}

void ServedConnection::finishResponse()
{
    this->output = std::string();
    this->releaseMemory(MemoryPurpose::Response, this->reservedResponseBytes);
    auto now = this->dependencies.clock.now();
    if (this->isRestUnread) {
        ::shutdown(this->descriptor(), SHUT_WR);
        this->wait(State::Discarding, ClientWait::Sending, now + discardTime);
        return;
    }
    if (this->isLast || !this->phase.endServing()) {
        this->close();
        return;
    }
    this->dependencies.memory.endStage(this->client);
    this->wait(State::Idle, ClientWait::Idle, now + this->dependencies.settings.idleTimeout);
    if (!this->received.empty()) {
        this->decode();
    }
}

void ServedConnection::beginClosing(TimePoint answerDeadline)
{
    this->closeBy = answerDeadline;
    if (this->state == State::Idle || this->state == State::Receiving || this->state == State::Discarding) {
        this->close();
    } else if (this->state == State::Sending) {
        this->deadline = std::min(this->deadline, answerDeadline);
        this->isLast = true;
    }
}

}
