#include <LibHttp/ConnectionGuard.h>

#include <Poco/Exception.h>

#include <algorithm>

namespace Lovageward {

namespace {

// The clock is injected and may differ from the kernel's, so a wait is split and the deadlines are checked between the parts.
constexpr Duration longestWait = milliseconds(200);

}

ConnectionGuard::ConnectionGuard(const Clock &clock, Duration limit) : clock(clock), limit(limit), thread([this] { this->run(); })
{
}

ConnectionGuard::~ConnectionGuard()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void ConnectionGuard::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        auto now = this->clock.now();
        for (auto id : this->watch.takeOverdue(now)) {
            this->shutDown(id);
        }
        auto next = this->watch.nextDeadline();
        if (next) {
            this->changed.wait_for(lock, std::min(*next - now, longestWait));
        } else {
            this->changed.wait(lock);
        }
    }
}

void ConnectionGuard::shutDown(ConnectionWatch::Id id)
{
    try {
        this->sockets.at(id).shutdownReceive();
    } catch (const Poco::Exception &) {
        // The peer has closed the connection meanwhile, which its thread notices by itself.
        return;
    }
}

void ConnectionGuard::beginClosing()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (auto id : this->watch.beginClosing()) {
        this->shutDown(id);
    }
}

GuardedConnection::GuardedConnection(ConnectionGuard &guard, const Poco::Net::StreamSocket &socket) : guard(guard)
{
    std::lock_guard<std::mutex> lock(this->guard.mutex);
    this->id = this->guard.watch.open();
    this->guard.sockets.emplace(this->id, socket);
}

GuardedConnection::~GuardedConnection()
{
    std::lock_guard<std::mutex> lock(this->guard.mutex);
    this->guard.watch.close(this->id);
    this->guard.sockets.erase(this->id);
}

bool GuardedConnection::acceptsRequests() const
{
    std::lock_guard<std::mutex> lock(this->guard.mutex);
    return this->guard.watch.acceptsRequests();
}

bool GuardedConnection::beginRequest()
{
    std::lock_guard<std::mutex> lock(this->guard.mutex);
    bool isFirst = !this->guard.watch.nextDeadline();
    bool hasBegun = this->guard.watch.beginRequest(this->id, this->guard.clock.now() + this->guard.limit);
    if (isFirst) {
        // All limits are equal, so only the first deadline can be earlier than the one that the thread waits for.
        this->guard.changed.notify_one();
    }
    return hasBegun;
}

bool GuardedConnection::endArrival()
{
    std::lock_guard<std::mutex> lock(this->guard.mutex);
    return this->guard.watch.endArrival(this->id, this->guard.clock.now());
}

void GuardedConnection::endRequest()
{
    std::lock_guard<std::mutex> lock(this->guard.mutex);
    this->guard.watch.endRequest(this->id);
}

}
