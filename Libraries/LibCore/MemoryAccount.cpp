#include <LibCore/MemoryAccount.h>

#include <algorithm>
#include <tuple>
#include <vector>

namespace Lovageward {

MemoryAccount::MemoryAccount(const Clock &clock, const MemoryLimits &limits) : clock(clock), limits(limits)
{
}

MemoryClientId MemoryAccount::addClient(MemoryHolder &holder)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    MemoryClientId id(++this->lastClient);
    this->clients[id].holder = &holder;
    this->add(MemoryPurpose::Connection, this->limits.connectionBytes);
    return id;
}

void MemoryAccount::removeClient(MemoryClientId client)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found == this->clients.end()) {
        return;
    }
    this->subtract(MemoryPurpose::Body, found->second.bytes);
    this->subtract(MemoryPurpose::Connection, this->limits.connectionBytes);
    this->clients.erase(found);
}

bool MemoryAccount::tryReserve(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes, std::uint64_t headroom)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found == this->clients.end()) {
        return false;
    }
    if (!this->fits(bytes + headroom)) {
        ++this->refused;
        this->askLargestWaiting();
        return false;
    }
    found->second.bytes += bytes;
    this->add(purpose, bytes);
    return true;
}

bool MemoryAccount::tryReserveShared(MemoryPurpose purpose, std::uint64_t bytes)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->fits(bytes)) {
        ++this->refused;
        this->askLargestWaiting();
        return false;
    }
    this->add(purpose, bytes);
    return true;
}

void MemoryAccount::release(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found != this->clients.end()) {
        found->second.bytes -= bytes;
        this->subtract(purpose, bytes);
    }
}

void MemoryAccount::releaseShared(MemoryPurpose purpose, std::uint64_t bytes)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->subtract(purpose, bytes);
}

void MemoryAccount::beginWait(MemoryClientId client, ClientWait wait)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found != this->clients.end()) {
        found->second.wait = wait;
        found->second.waitingSince = this->clock.now();
    }
}

void MemoryAccount::endWait(MemoryClientId client)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found != this->clients.end()) {
        found->second.wait.reset();
    }
}

bool MemoryAccount::closeLongestIdle()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<Client *> candidates;
    for (auto &[id, client] : this->clients) {
        if (client.wait == ClientWait::Idle && this->hasWaitedLongEnough(client)) {
            candidates.push_back(&client);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Client *left, const Client *right) { return left->waitingSince < right->waitingSince; });
    return std::any_of(candidates.begin(), candidates.end(), [this](Client *client) { return this->requestRelease(*client); });
}

std::uint64_t MemoryAccount::usedBytes() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->used;
}

std::uint64_t MemoryAccount::usedBytes(MemoryPurpose purpose) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->usedByPurpose.at(static_cast<std::size_t>(purpose));
}

std::uint64_t MemoryAccount::refusedReservations() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->refused;
}

std::uint64_t MemoryAccount::releaseRequests() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->requests;
}

bool MemoryAccount::fits(std::uint64_t bytes) const
{
    return this->used <= this->limits.totalBytes && bytes <= this->limits.totalBytes - this->used;
}

void MemoryAccount::add(MemoryPurpose purpose, std::uint64_t bytes)
{
    this->used += bytes;
    this->usedByPurpose.at(static_cast<std::size_t>(purpose)) += bytes;
}

void MemoryAccount::subtract(MemoryPurpose purpose, std::uint64_t bytes)
{
    this->used -= bytes;
    this->usedByPurpose.at(static_cast<std::size_t>(purpose)) -= bytes;
}

bool MemoryAccount::hasWaitedLongEnough(const Client &client) const
{
    return !client.isReleaseRequested && client.wait && this->clock.now() - client.waitingSince >= this->limits.minimumWait;
}

void MemoryAccount::askLargestWaiting()
{
    Client *largest = nullptr;
    for (auto &[id, client] : this->clients) {
        if (client.isReleaseRequested && client.bytes > 0) {
            // Its memory is about to be released. Asking a further client now would close more connections than needed.
            return;
        }
        auto isLarger = largest == nullptr || std::tuple(client.bytes, largest->waitingSince) > std::tuple(largest->bytes, client.waitingSince);
        if (client.bytes > 0 && this->hasWaitedLongEnough(client) && isLarger) {
            largest = &client;
        }
    }
    if (largest != nullptr) {
        this->requestRelease(*largest);
    }
}

bool MemoryAccount::requestRelease(Client &client)
{
    if (!client.wait || !client.holder->requestRelease(*client.wait)) {
        return false;
    }
    client.isReleaseRequested = true;
    ++this->requests;
    return true;
}

}
