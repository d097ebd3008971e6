#include <LibHttp/ConnectionMemory.h>

#include <LibHttp/Listener.h>

#include <algorithm>
#include <sys/socket.h>
#include <thread>

namespace Lovageward {

namespace {

/** Bytes of a body that the fixed charge of a connection covers, so that small requests need no reservation. */
constexpr std::uint64_t unreservedBodyBytes = 16'384;

/** Step in which the reservation of a body grows. */
constexpr std::uint64_t bodyReservationStep = 65'536;

/** Interval between two attempts to reserve memory. */
constexpr Duration memoryCheckInterval = milliseconds(15);

/** Retry-After of a request that arrived while its connection was being closed; short, because the retry comes on a new connection. */
constexpr Duration releaseRetryAfter = milliseconds(50);

constexpr std::uint64_t additionalUnreadBytes = unreadByteLimit(bodyReceiveBufferBytes) - defaultUnreadBytes;

/** The system may bound the size further, in which case the body arrives more slowly. */
void setReceiveBuffer(int descriptor, std::size_t bytes)
{
    auto size = static_cast<int>(bytes);
    static_cast<void>(::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)));
}

}

ConnectionMemory::ConnectionMemory(const ConnectionMemoryDependencies &dependencies, const ClientOrigin &origin, int descriptor)
    : dependencies(dependencies), descriptor(descriptor), client(dependencies.account.addClient(*this, origin))
{
}

ConnectionMemory::~ConnectionMemory()
{
    this->close();
}

void ConnectionMemory::close()
{
    this->dependencies.account.removeClient(this->client);
}

bool ConnectionMemory::requestRelease(ClientWait wait)
{
    if (wait == ClientWait::Idle && this->hasUnreceivedBytes()) {
        return false;
    }
    if (!this->phase.release(wait)) {
        return false;
    }
    ::shutdown(this->descriptor, SHUT_RD);
    return true;
}

bool ConnectionMemory::beginServing()
{
    this->dependencies.account.endStage(this->client);
    return this->phase.beginServing();
}

void ConnectionMemory::endServing()
{
    this->releaseBody();
    this->phase.endServing();
}

void ConnectionMemory::rejectIfReleased() const
{
    if (this->isReleased()) {
        this->dependencies.counters.counter("lovageward_clients_released_total").add();
        throw Error(ResultCode::NoCapacity, RunState::NotRun, "the memory or place of this unfinished request was needed for others", memoryRetryAfter);
    }
}

void ConnectionMemory::rejectLateRequest() const
{
    this->dependencies.counters.counter("lovageward_clients_released_total").add();
    throw Error(ResultCode::NoCapacity, RunState::NotRun, "the place of this connection was needed for others", releaseRetryAfter);
}

void ConnectionMemory::reserveBody(std::uint64_t bytes, std::uint64_t largest)
{
    if (bytes <= std::max(unreservedBodyBytes, this->reservedBodyBytes)) {
        return;
    }
    auto step = std::max(bytes - this->reservedBodyBytes, std::min(bodyReservationStep, std::max(largest, bytes) - this->reservedBodyBytes));
    // A body that has its first step may grow to its largest size; the headroom keeps memory for those that have begun.
    auto isFirst = this->reservedBodyBytes == 0;
    auto headroom = isFirst && largest > step ? std::min(largest - step, this->dependencies.account.bodyBytes() / 2) : 0;
    auto deadline = this->dependencies.clock.now() + this->dependencies.memoryWait;
    while (!this->dependencies.account.tryReserve(this->client, MemoryPurpose::Body, step, headroom)) {
        this->awaitMemory(deadline);
    }
    this->reservedBodyBytes += step;
    if (isFirst && largest > bodyReceiveBufferBytes) {
        this->growReceiveBuffer();
    }
}

void ConnectionMemory::awaitMemory(TimePoint deadline)
{
    this->rejectIfReleased();
    auto now = this->dependencies.clock.now();
    if (now >= deadline) {
        this->dependencies.counters.counter("lovageward_memory_rejections_total").add();
        throw Error(ResultCode::NoCapacity, RunState::NotRun, "there is no memory for the body of this request", memoryRetryAfter);
    }
    // The rest of the body waits in the kernel.
    std::this_thread::sleep_for(std::min(deadline - now, memoryCheckInterval));
}

void ConnectionMemory::growReceiveBuffer()
{
    this->hasGrownReceiveBuffer = this->dependencies.account.tryReserve(this->client, MemoryPurpose::ReceiveBuffer, additionalUnreadBytes);
    if (this->hasGrownReceiveBuffer) {
        setReceiveBuffer(this->descriptor, bodyReceiveBufferBytes);
    }
}

void ConnectionMemory::releaseBody()
{
    if (this->reservedBodyBytes > 0) {
        this->dependencies.account.release(this->client, MemoryPurpose::Body, this->reservedBodyBytes);
        this->reservedBodyBytes = 0;
    }
    if (this->hasGrownReceiveBuffer) {
        setReceiveBuffer(this->descriptor, defaultReceiveBufferBytes);
        this->dependencies.account.release(this->client, MemoryPurpose::ReceiveBuffer, additionalUnreadBytes);
        this->hasGrownReceiveBuffer = false;
    }
}

void ConnectionMemory::beginWait(ClientWait wait)
{
    this->dependencies.account.beginWait(this->client, wait);
}

void ConnectionMemory::endWait()
{
    this->dependencies.account.endWait(this->client);
}

bool ConnectionMemory::hasUnreceivedBytes() const
{
    char byte = 0;
    return ::recv(this->descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

}
