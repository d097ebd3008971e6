#include <LibHttp/ConnectionPool.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <iterator>

namespace Lovageward {

namespace {

// Looking through all addresses for expired connections takes time that each single request shouldn't pay.
constexpr Duration collectionInterval = seconds(1);
// Paths take some 20 ms between regions, so a handshake that takes this long has failed, whatever time the call itself has.
constexpr Duration connectLimit = seconds(3);

}

std::unique_ptr<ClientSession> ConnectionPool::take(const std::string &address)
{
    std::vector<Idle> unusable;
    auto now = this->clock.now();
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    while (!connections.empty()) {
        // The connection used last is the least likely to have been closed by the upstream.
        auto candidate = std::move(connections.back());
        connections.pop_back();
        if (now < candidate.closeAt && !candidate.connection->isUnusable()) {
            return std::move(candidate.connection);
        }
        unusable.push_back(std::move(candidate));
    }
    return nullptr;
}

std::unique_ptr<ClientSession> ConnectionPool::connect(const std::string &address, TimePoint deadline) const
{
    try {
        return ClientSession::connect(this->clock, address, std::min<TimePoint>(deadline, this->clock.now() + connectLimit));
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::UpstreamUnavailable, RunState::NotRun, "can't connect to " + address + ": " + error.displayText());
    }
}

void ConnectionPool::giveBack(const std::string &address, std::unique_ptr<ClientSession> connection)
{
    std::vector<Idle> expired;
    auto now = this->clock.now();
    std::lock_guard<std::mutex> guard(this->mutex);
    if (now >= this->nextCollection) {
        this->collectExpired(now, expired);
        this->nextCollection = now + collectionInterval;
    }
    auto &connections = this->idle[address];
    if (connections.size() < this->maximumPerAddress) {
        connections.push_back({ std::move(connection), now + this->maximumIdle });
    }
}

void ConnectionPool::collectExpired(TimePoint now, std::vector<Idle> &expired)
{
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        auto &connections = entry->second;
        auto firstFresh = std::find_if(connections.begin(), connections.end(), [now](const Idle &item) { return now < item.closeAt; });
        std::move(connections.begin(), firstFresh, std::back_inserter(expired));
        connections.erase(connections.begin(), firstFresh);
        entry = connections.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

void ConnectionPool::drop(const std::string &address)
{
    std::vector<Idle> dropped;
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->idle.find(address);
    if (found != this->idle.end()) {
        dropped = std::move(found->second);
        this->idle.erase(found);
    }
}

std::size_t ConnectionPool::idleCount() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::size_t count = 0;
    for (const auto &[address, connections] : this->idle) {
        count += connections.size();
    }
    return count;
}

}
