#include <LibForward/HttpPeerFeed.h>

#include <LibCore/Error.h>
#include <LibForward/FeedPageCache.h>
#include <LibHttp/SimpleHttp.h>

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Timeout of one pull. A page of thousands of records takes some tenths of a second over a slow link. */
constexpr Duration pullTimeout = milliseconds(800);

/** Peers that are tried before a pull fails. */
constexpr std::size_t maximumPullAttempts = 2;

constexpr int okStatus = 200;

}

FeedPage HttpPeerFeed::pull(FeedTopic topic, const FeedPosition &position)
{
    auto candidates = this->peers.peersWithNewerRecords(topic, position);
    std::string failure = "no peer has newer records";
    for (std::size_t attempt = 0; attempt < std::min(maximumPullAttempts, candidates.size()); ++attempt) {
        const auto &peer = candidates[attempt];
        auto address = fmt::format("{}:{}", peer.substr(0, peer.rfind(':')), this->port);
        auto path = fmt::format("{}?topic={}&from={}", feedPagePath, static_cast<int>(topic), position.offset);
        if (position.era > StoreEra()) {
            // Nodes of versions without eras would take it for the offset.
            path += fmt::format("&era={}", position.era.value());
        }
        try {
            auto response = exchange(this->clock, address, "GET", path, {}, this->clock.now() + pullTimeout);
            if (response.status == okStatus) {
                return decodeFeedPage(response.body);
            }
            failure = fmt::format("{} responded with status {}", address, response.status);
        } catch (const Poco::Exception &error) {
            failure = fmt::format("{}: {}", address, error.displayText());
        }
    }
    throw Error(ResultCode::PeerUnreachable, RunState::NotRun, failure);
}

bool HttpPeerFeed::hasPeerWithNewerRecords(FeedTopic topic, const FeedPosition &position) const
{
    return !this->peers.peersWithNewerRecords(topic, position).empty();
}

bool HttpPeerFeed::isReader(FeedTopic topic) const
{
    return this->peers.isReader(topic);
}

bool HttpPeerFeed::isDiscoveryComplete() const
{
    return this->peers.isDiscoveryComplete();
}

Duration HttpPeerFeed::drawStoreCallJitter()
{
    return this->peers.drawStoreCallJitter();
}

Duration HttpPeerFeed::drawListingDelay()
{
    return this->peers.drawListingDelay();
}

TimePoint HttpPeerFeed::freshUntil(FeedTopic topic, StoreEra minimumEra) const
{
    return this->peers.freshUntil(topic, minimumEra);
}

}
