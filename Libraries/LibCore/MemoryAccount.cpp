#include <LibCore/MemoryAccount.h>

#include <algorithm>
#include <tuple>
#include <vector>

namespace Lovageward {

MemoryAccount::MemoryAccount(const Clock &clock, const MemoryLimits &limits) : clock(clock), limits(limits)
{
    this->listeners.push_back({ limits.connectionBytes, limits.minimumWait, std::nullopt });
}

ListenerId MemoryAccount::addListener(const ListenerLimits &listenerLimits)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->listeners.push_back(listenerLimits);
    return ListenerId(this->listeners.size() - 1);
}

MemoryClientId MemoryAccount::addClient(MemoryHolder &holder, const ClientOrigin &origin)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    MemoryClientId id(++this->lastClient);
    auto &client = this->clients[id];
    client.holder = &holder;
    client.origin = origin;
    this->add(MemoryPurpose::Connection, this->listenerLimits(origin.listener).connectionBytes);
    return id;
}

void MemoryAccount::removeClient(MemoryClientId client)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found == this->clients.end()) {
        return;
    }
    for (std::size_t purpose = 0; purpose < memoryPurposeCount; ++purpose) {
        this->subtract(static_cast<MemoryPurpose>(purpose), found->second.bytesByPurpose.at(purpose));
    }
    this->subtract(MemoryPurpose::Connection, this->listenerLimits(found->second.origin.listener).connectionBytes);
    this->clients.erase(found);
}

bool MemoryAccount::tryReserve(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes, std::uint64_t headroom)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found == this->clients.end()) {
        return false;
    }
    if (!this->fits(purpose, bytes + headroom)) {
        ++this->refused;
        this->askLargestWaiting();
        return false;
    }
    found->second.bytes += bytes;
    found->second.bytesByPurpose.at(static_cast<std::size_t>(purpose)) += bytes;
    this->add(purpose, bytes);
    return true;
}

bool MemoryAccount::tryReserveShared(MemoryPurpose purpose, std::uint64_t bytes)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->fits(purpose, bytes)) {
        ++this->refused;
        this->askLargestWaiting();
        return false;
    }
    this->add(purpose, bytes);
    return true;
}

void MemoryAccount::chargeShared(MemoryPurpose purpose, std::uint64_t bytes)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->add(purpose, bytes);
}

void MemoryAccount::release(MemoryClientId client, MemoryPurpose purpose, std::uint64_t bytes)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found != this->clients.end()) {
        found->second.bytes -= bytes;
        found->second.bytesByPurpose.at(static_cast<std::size_t>(purpose)) -= bytes;
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
        auto &entry = found->second;
        entry.wait = wait;
        entry.waitingSince = this->clock.now();
        if (entry.stage != wait) {
            entry.stage = wait;
            entry.stageSince = entry.waitingSince;
        }
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

void MemoryAccount::endStage(MemoryClientId client)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->clients.find(client);
    if (found != this->clients.end()) {
        found->second.stage.reset();
    }
}

std::optional<ClientWait> MemoryAccount::makePlace(ListenerId listener)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::map<std::string, std::size_t> connections;
    std::vector<Client *> candidates;
    for (auto &[id, client] : this->clients) {
        if (client.origin.listener != listener || client.isReleaseRequested) {
            continue;
        }
        ++connections[client.origin.address];
        if (this->mayGivePlace(client)) {
            candidates.push_back(&client);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&connections](const Client *left, const Client *right) {
        return std::tuple(connections[right->origin.address], left->stageSince) < std::tuple(connections[left->origin.address], right->stageSince);
    });
    auto released = std::find_if(candidates.begin(), candidates.end(), [this](Client *client) { return this->requestRelease(*client); });
    return released == candidates.end() ? std::nullopt : (*released)->wait;
}

bool MemoryAccount::isExhausted() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->used > this->limits.totalBytes;
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

bool MemoryAccount::fits(MemoryPurpose purpose, std::uint64_t bytes) const
{
    auto limit = purpose == MemoryPurpose::Body ? this->bodyBytes() : this->limits.totalBytes;
    return this->used <= limit && bytes <= limit - this->used;
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

const ListenerLimits &MemoryAccount::listenerLimits(ListenerId listener) const
{
    return this->listeners.at(listener.value());
}

bool MemoryAccount::mayGivePlace(const Client &client) const
{
    const auto &limits = this->listenerLimits(client.origin.listener);
    auto patience = client.wait == ClientWait::Idle ? std::optional(limits.idleTime) : limits.unfinishedTime;
    return client.wait && patience && this->clock.now() - client.stageSince >= *patience;
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
