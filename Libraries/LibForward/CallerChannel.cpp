#include <LibForward/CallerChannel.h>

#include <LibHttp1/BodyDecoder.h>
#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/HeadEncoder.h>
#include <LibHttp1/MessageFraming.h>

#include <fmt/format.h>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace Lovageward {

namespace {

/** Time after which a caller that accepts no bytes is treated as disconnected. */
constexpr Duration writeTimeout = seconds(10);

/** Callers reuse a connection until four fifths of the idle timeout; the grace period covers a request that is in flight at that moment. */
constexpr Duration idleGracePeriod = milliseconds(500);

/** Time for which a new connection stays open for its first request when idle ones are closed. The caller sends it right after the handshake. */
constexpr Duration firstRequestTime = milliseconds(500);

/** Time before the exit of the process at which requests without a response are answered. */
constexpr Duration finalResponseMargin = milliseconds(200);

/** Size from which a body with a length gets its address space; smaller ones are covered by the fixed charge of a connection. */
constexpr std::uint64_t smallBodyBytes = 16'384;

/** Size from which a chunked body gets address space for the largest one. The allocator asks the kernel for smaller ones only rarely. */
constexpr std::uint64_t chunkedReserveThreshold = 131'072;

std::string encodeContinueResponse()
{
    constexpr int continueStatus = 100;
    return encodeHead(ResponseHead { continueStatus, ReasonPhrase("Continue"), {} });
}

}

DrainState::DrainState()
{
    if (::pipe2(static_cast<int *>(this->pipeDescriptors), O_CLOEXEC | O_NONBLOCK) != 0) {
        throw Error(ResultCode::Internal, RunState::NotRun, "can't create the pipe that signals the drain to connections");
    }
}

DrainState::~DrainState()
{
    ::close(this->pipeDescriptors[0]);
    if (this->pipeDescriptors[1] >= 0) {
        ::close(this->pipeDescriptors[1]);
    }
}

void DrainState::begin(TimePoint endsAt)
{
    this->shutdownTime = endsAt.time_since_epoch().count();
    this->hasBegun = true;
}

void DrainState::closeIdleConnections()
{
    this->hasClosedIdle = true;
    // Closing the write end makes the read end permanently readable, which wakes every connection.
    ::close(this->pipeDescriptors[1]);
    this->pipeDescriptors[1] = -1;
}

bool DrainState::isDraining() const
{
    return this->hasBegun;
}

bool DrainState::hasClosedIdleConnections() const
{
    return this->hasClosedIdle;
}

TimePoint DrainState::endsAt() const
{
    return TimePoint(Duration(this->shutdownTime.load()));
}

TimePoint DrainState::limitDeadline(TimePoint deadline) const
{
    return this->isDraining() ? std::min(deadline, this->endsAt() - finalResponseMargin) : deadline;
}

CallerChannel::CallerChannel(const CallerChannelDependencies &dependencies, const Poco::Net::StreamSocket &socket)
    : dependencies(dependencies)
    , clock(dependencies.clock)
    , config(dependencies.config)
    , drain(dependencies.drain)
    , channel(dependencies.clock, socket)
    , memory({ dependencies.clock, dependencies.memory, dependencies.counters, dependencies.limits.memoryWait },
             { dependencies.listener, peerAddress(socket) },
             channel.descriptor())
{
}

void CallerChannel::rejectLateRequest() const
{
    if (!this->channel.buffer().empty() || this->memory.hasUnreceivedBytes()) {
        this->memory.rejectLateRequest();
    }
}

bool CallerChannel::waitFor(DescriptorPoller &poller, TimePoint deadline, ClientWait wait)
{
    WaitScope scope(this->memory, wait);
    return poller.wait(this->clock, deadline);
}

std::optional<ReceivedRequest> CallerChannel::readRequest()
{
    this->memory.endServing();
    auto isFirst = !std::exchange(this->hasReceivedRequest, true);
    if (this->channel.buffer().empty() && !(isFirst && this->awaitFirstRequest()) && !this->awaitNextRequest()) {
        return std::nullopt;
    }
    if (!this->memory.beginReceiving()) {
        this->rejectLateRequest();
        return std::nullopt;
    }
    auto limits = this->limits();
    ReceivedRequest request;
    request.arrivedAt = this->clock.now();
    auto headDeadline = request.arrivedAt + limits.headTimeout;
    auto head = extractHead(this->channel.buffer());
    while (!head) {
        if (this->channel.buffer().size() > limits.maximumHeadBytes) {
            throw Error(ResultCode::HeadersTooLarge, RunState::NotRun, fmt::format("the request head is larger than {} bytes", limits.maximumHeadBytes));
        }
        if (!this->receiveMore(headDeadline)) {
            return std::nullopt;
        }
        head = extractHead(this->channel.buffer());
    }
    if (head->size() > limits.maximumHeadBytes) {
        throw Error(ResultCode::HeadersTooLarge, RunState::NotRun, fmt::format("the request head is larger than {} bytes", limits.maximumHeadBytes));
    }
    request.head = decodeRequestHead(*head);
    if (!this->readBody(request, limits)) {
        return std::nullopt;
    }
    if (!this->memory.beginServing()) {
        this->memory.rejectIfReleased();
    }
    return request;
}

bool CallerChannel::readBody(ReceivedRequest &request, const CallerLimits &limits)
{
    auto framing = requestFraming(request.head);
    request.hasBody = framing.type != BodyFraming::None;
    if (framing.length > limits.maximumBodyBytes) {
        throw Error(ResultCode::BodyTooLarge, RunState::NotRun, fmt::format("the body is larger than {} bytes", limits.maximumBodyBytes));
    }
    auto expectsContinue = equalsIgnoringCase(request.head.fields.get("Expect"), "100-continue");
    if (expectsContinue && !this->channel.write(encodeContinueResponse(), this->clock.now() + writeTimeout)) {
        return false;
    }
    BodyDecoder decoder(framing.type, framing.length);
    auto largest = framing.type == BodyFraming::ContentLength ? framing.length : limits.maximumBodyBytes;
    MinimumDataRate rate(this->dependencies.limits.bodyRate, this->clock.now());
    // The head timeout applies to each receive, and the minimum rate to the whole body.
    while (true) {
        auto arrived = this->channel.buffer().size();
        this->memory.reserveBody(std::min<std::uint64_t>(request.body.size() + arrived, std::max<std::uint64_t>(largest, arrived)), largest);
        if (request.body.size() + arrived > (framing.type == BodyFraming::ContentLength ? smallBodyBytes : chunkedReserveThreshold)) {
            // Address space only: the kernel provides memory as the body arrives. Growing by doubling would take up to three times the size.
            request.body.reserve(std::min(largest, this->dependencies.memory.totalBytes()));
        }
        auto state = decoder.decode(this->channel.buffer(), request.body);
        if (state == BodyDecoder::State::Malformed || state == BodyDecoder::State::LimitExceeded) {
            throw Error(ResultCode::BadRequest, RunState::NotRun, "the body is malformed");
        }
        if (request.body.size() > limits.maximumBodyBytes) {
            throw Error(ResultCode::BodyTooLarge, RunState::NotRun, fmt::format("the body is larger than {} bytes", limits.maximumBodyBytes));
        }
        if (state == BodyDecoder::State::Complete) {
            return true;
        }
        if (rate.isTooSlow(this->clock.now())) {
            this->dependencies.counters.counter("lovageward_slow_bodies_total").add();
            throw Error(ResultCode::RequestTooSlow, RunState::NotRun, "the body arrives more slowly than the minimum rate");
        }
        auto remainder = this->channel.buffer().size();
        if (!this->receiveMore(this->clock.now() + limits.headTimeout)) {
            this->memory.rejectIfReleased();
            return false;
        }
        rate.countBytes(this->channel.buffer().size() - remainder, this->clock.now());
    }
}

bool CallerChannel::receiveMore(TimePoint deadline)
{
    DescriptorPoller poller;
    poller.add(this->channel.descriptor());
    while (true) {
        switch (this->channel.receive()) {
        case SocketChannel::ReceiveResult::Data:
            return true;
        case SocketChannel::ReceiveResult::Closed:
        case SocketChannel::ReceiveResult::Failed:
            this->hasClosed = true;
            return false;
        case SocketChannel::ReceiveResult::WouldBlock:
            break;
        }
        if (!this->waitFor(poller, deadline, ClientWait::Receiving)) {
            throw Error(ResultCode::RequestTooSlow, RunState::NotRun, "the request did not arrive in time");
        }
    }
}

TimePoint CallerChannel::idleDeadline(TimePoint idleSince) const
{
    return idleSince + this->limits().idleTimeout + idleGracePeriod;
}

bool CallerChannel::awaitFirstRequest()
{
    DescriptorPoller poller;
    poller.add(this->channel.descriptor());
    auto deadline = this->clock.now() + firstRequestTime;
    return this->waitFor(poller, deadline, ClientWait::Idle) && this->receiveMore(deadline);
}

bool CallerChannel::awaitNextRequest()
{
    auto idleSince = this->clock.now();
    auto deadline = this->idleDeadline(idleSince);
    while (true) {
        DescriptorPoller poller;
        auto caller = poller.add(this->channel.descriptor());
        poller.add(this->drain.descriptor());
        if (this->waitFor(poller, deadline, ClientWait::Idle)) {
            // A request that has already arrived is still served while the node drains.
            return poller.isReadable(caller) && this->receiveMore(deadline);
        }
        // A configuration update may have extended the idle timeout.
        auto extended = this->idleDeadline(idleSince);
        if (extended <= this->clock.now()) {
            return false;
        }
        deadline = extended;
    }
}

bool CallerChannel::isDisconnected()
{
    if (!this->hasClosed && this->isReadAheadFull()) {
        if (!std::exchange(this->hasReachedReadAhead, true)) {
            this->dependencies.counters.counter("lovageward_read_ahead_full_total").add();
        }
        this->hasClosed = this->channel.hasHungUp();
    } else if (!this->hasClosed) {
        auto state = this->channel.receive(this->dependencies.limits.readAheadBytes - this->channel.buffer().size());
        this->hasClosed = state == SocketChannel::ReceiveResult::Closed || state == SocketChannel::ReceiveResult::Failed;
    }
    return this->hasClosed;
}

bool CallerChannel::sendResponse(ResponseHead head, const std::string &body, bool isKeepAlive)
{
    if (this->isStreaming) {
        this->abort();
        return false;
    }
    head.fields.add("Content-Length", std::to_string(body.size()));
    if (!isKeepAlive) {
        head.fields.add("Connection", "close");
    }
    return this->channel.writeParts({ encodeHead(head), body }, this->clock.now() + writeTimeout);
}

bool CallerChannel::beginStream(ResponseHead head, bool isKeepAlive)
{
    this->isStreaming = true;
    head.fields.add("Transfer-Encoding", "chunked");
    if (!isKeepAlive) {
        head.fields.add("Connection", "close");
    }
    return this->channel.write(encodeHead(head), this->clock.now() + writeTimeout);
}

bool CallerChannel::sendChunk(std::string_view bytes)
{
    if (bytes.empty()) {
        return true;
    }
    return this->channel.writeParts({ fmt::format("{:x}\r\n", bytes.size()), bytes, "\r\n" }, this->clock.now() + writeTimeout);
}

bool CallerChannel::endStream()
{
    this->isStreaming = false;
    return this->channel.write("0\r\n\r\n", this->clock.now() + writeTimeout);
}

void CallerChannel::abort()
{
    // Another thread must not shut down a descriptor that may already belong to another connection.
    this->memory.close();
    // An orderly close still delivers the bytes in flight. The missing last chunk marks a chunked response as incomplete.
    this->channel.close();
    this->hasClosed = true;
}

CallerLimits CallerChannel::limits() const
{
    auto current = this->config.current();
    return current ? current->limits() : CallerLimits();
}

}
