#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/FeedFollower.h>
#include <LibGateway/FeedMirror.h>
#include <LibGateway/PeerTable.h>

#include <cstdint>
#include <string>

namespace Lovageward {

/** Path of feed pages on the peers' HTTP port. The query is `?topic=N&from=OFFSET&era=ERA`; without an era it is 0. */
inline constexpr const char *feedPagePath = "/feed";

/** Pulls feed records from peers over HTTP and looks up the state of peers in the PeerTable. */
class HttpPeerFeed final : public PeerFeed
{
public:
    /** `port` is the HTTP port of all peers. */
    HttpPeerFeed(const Clock &clock, PeerTable &peers, std::uint16_t port) : clock(clock), peers(peers), port(port)
    {
    }

    FeedPage pull(FeedTopic topic, const FeedPosition &position) override;
    bool hasPeerWithNewerRecords(FeedTopic topic, const FeedPosition &position) const override;
    bool isReader(FeedTopic topic) const override;
    TimePoint freshUntil(FeedTopic topic, StoreEra minimumEra) const override;
    bool isDiscoveryComplete() const override;
    Duration drawListingDelay() override;
    Duration drawStoreCallJitter() override;

private:
    const Clock &clock;
    PeerTable &peers;
    std::uint16_t port;
};

}
