#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibGateway/GatewayConfig.h>
#include <LibGateway/UpstreamRecord.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lovageward {

/** What the platform tells the nodes through its store. */
enum class FeedTopic : std::uint8_t {
    /** The operators' configuration and drains. */
    Operators = 0,
    /** The upstreams' registrations. */
    Upstreams = 1,
};

inline constexpr std::size_t feedTopicCount = 2;

/** A record as the store holds it. Only the decoder knows what the bytes mean. */
struct FeedRecord
{
    std::string key;
    /** Empty if the key was removed. */
    std::string value;
    /** Position in the topic, from 0. */
    std::uint64_t offset = 0;
};

struct FeedPage
{
    std::vector<FeedRecord> records;
    /** Position at which reading goes on. */
    std::uint64_t nextOffset = 0;
};

/** Pages aren't a snapshot: what changed since the first one has to be read from its next offset on. */
struct FeedListing
{
    FeedPage page;
    bool hasMore = false;
};

/** Reads the topics of the platform's store. */
class StateFeed
{
public:
    virtual ~StateFeed() = default;

    /**
     * A page of the newest records of all keys after the given one, in the order of the keys; nothing for the first page. Throws
     * Error(LogUnavailable).
     */
    virtual FeedListing listNewest(FeedTopic topic, const std::optional<std::string> &afterKey, TimePoint deadline) = 0;

    /**
     * Records from the offset on; waits up to `wait` for the first one. Throws Error(LogUnavailable), or Error(RecordsExpired) if they are no
     * longer kept.
     */
    virtual FeedPage readFrom(FeedTopic topic, std::uint64_t offset, Duration wait, TimePoint deadline) = 0;
};

struct DrainChange
{
    FailureDomainId domain;
    bool isDrained = false;
};

struct UpstreamRemoval
{
    UpstreamId upstream;
};

/** A whole configuration, a drain or its end, an upstream's entry, or the removal of one. */
using FeedChange = std::variant<std::shared_ptr<const GatewayConfig>, DrainChange, UpstreamRecord, UpstreamRemoval>;

/** Gives records their meaning. */
class FeedDecoder
{
public:
    virtual ~FeedDecoder() = default;

    /** Nothing for a record that isn't for the nodes. Throws Error(InvalidValue) for one that can't be understood. */
    virtual std::optional<FeedChange> decode(FeedTopic topic, const FeedRecord &record, TimePoint now) const = 0;
};

}
