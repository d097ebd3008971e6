#include <LibGateway/HostDirectoryTask.h>

#include <LibCore/Error.h>

#include <utility>

namespace Lovageward {

namespace {

/** Time between reads of the host directory in the store. In between, nodes learn of new hosts from their peers. */
constexpr Duration directoryReadInterval = seconds(30);

/** Time after which the directory is read again for the first time. Hosts that started together have announced themselves by then. */
constexpr Duration initialDirectoryReadInterval = milliseconds(700);
constexpr Duration directoryRetryDelay = seconds(1);
constexpr int directoryRetryJitterFactor = 4;
constexpr Duration directoryCallTimeout = milliseconds(700);

}

HostDirectoryTask::HostDirectoryTask(
    const Clock &clock, EventLog &events, HostDirectory &directory, PeerTable &peerTable, StoreEraTracker &storeEras, KnownHost self)
    : clock(clock), events(events), directory(directory), peerTable(peerTable), storeEras(storeEras), self(std::move(self))
{
}

TimePoint HostDirectoryTask::step()
{
    if (this->announcedEra && this->mustAnnounce()) {
        this->announceAgainAt = this->announceAgainAt.value_or(this->clock.now() + directoryRetryJitterFactor * this->peerTable.drawStoreCallJitter());
        if (this->clock.now() < *this->announceAgainAt) {
            return *this->announceAgainAt;
        }
        this->announceAgainAt.reset();
    }
    try {
        if (this->mustAnnounce()) {
            this->announcedEra = this->directory.announce(this->self, this->clock.now() + directoryCallTimeout);
            this->storeEras.record(*this->announcedEra);
        }
        auto listing = this->directory.hosts(this->clock.now() + directoryCallTimeout);
        this->storeEras.record(listing.era);
        for (const auto &peer : listing.hosts) {
            this->peerTable.addKnownHost(peer);
        }
        this->peerTable.markDirectoryRead();
        auto isFirst = !std::exchange(this->hasReadDirectory, true);
        if (this->mustAnnounce()) {
            return this->retryTime();
        }
        return this->clock.now() + (isFirst ? initialDirectoryReadInterval : directoryReadInterval);
    } catch (const Error &error) {
        this->events.write("directory_failed", { { "announced", this->announcedEra.has_value() }, { "reason", error.what() } });
        return this->retryTime();
    }
}

bool HostDirectoryTask::mustAnnounce() const
{
    return !this->announcedEra || *this->announcedEra < this->storeEras.current();
}

TimePoint HostDirectoryTask::retryTime()
{
    return this->clock.now() + directoryRetryDelay + directoryRetryJitterFactor * this->peerTable.drawStoreCallJitter();
}

}
