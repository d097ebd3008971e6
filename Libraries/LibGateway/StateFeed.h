#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibGateway/GatewayConfig.h>
#include <LibGateway/RolloutRecords.h>
#include <LibGateway/UpstreamRecord.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lovageward {

/** The topics of the platform's store that nodes read. */
enum class FeedTopic : std::uint8_t {
    /** The operators' configuration and drains. */
    Operators = 0,
    /** The upstreams' registrations. */
    Upstreams = 1,
    /** The system's reports on roll-outs; followed only if roll-outs are enabled. */
    Status = 2,
};

inline constexpr std::size_t feedTopicCount = 3;

/** Name of the topic in log lines. */
constexpr std::string_view feedTopicName(FeedTopic topic)
{
    if (topic == FeedTopic::Status) {
        return "status";
    }
    return topic == FeedTopic::Operators ? "operators" : "upstreams";
}

/** Position in a topic of the store. After a restoration offsets are assigned again, so positions are ordered by era first. */
struct FeedPosition
{
    StoreEra era;
    std::uint64_t offset = 0;

    auto operator<=>(const FeedPosition &) const = default;
};

/** A record of the store. Only a FeedDecoder interprets the key and the value. */
struct FeedRecord
{
    std::string key;
    /** Empty if the key was removed. */
    std::string value;
    /** Position in the topic, from 0. */
    std::uint64_t offset = 0;
    /** Era of the store in which the record has this offset. */
    StoreEra era {};

    FeedPosition position() const
    {
        return { this->era, this->offset };
    }
};

/** Records of a topic, as returned by one read. */
struct FeedPage
{
    std::vector<FeedRecord> records;
    /** Offset at which the next read starts. */
    std::uint64_t nextOffset = 0;
    /** Era of the store that returned the page. */
    StoreEra era {};

    FeedPosition nextPosition() const
    {
        return { this->era, this->nextOffset };
    }
};

/** A page of a listing. The pages aren't a snapshot: later changes have to be read from the next offset of the first page. */
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
     * Returns a page of the newest records of all keys after `afterKey`, in key order. Without `afterKey` it is the first page. Throws
     * Error(LogUnavailable).
     */
    virtual FeedListing listNewest(FeedTopic topic, const std::optional<std::string> &afterKey, TimePoint deadline) = 0;

    /**
     * Returns the records from `offset` on; waits up to `wait` for the first one. Throws Error(LogUnavailable), or Error(RecordsExpired) if the store
     * has already deleted them.
     */
    virtual FeedPage readFrom(FeedTopic topic, std::uint64_t offset, Duration wait, TimePoint deadline) = 0;
};

/** A failure domain is drained, or its drain has ended. */
struct DrainChange
{
    FailureDomainId domain;
    bool isDrained = false;
};

/** An upstream is no longer registered. */
struct UpstreamRemoval
{
    UpstreamId upstream;
};

/** The change that a record makes. */
using FeedChange = std::variant<std::shared_ptr<const GatewayConfig>, DrainChange, UpstreamRecord, UpstreamRemoval, RolloutOrder, RolloutStatus>;

/** Decodes records of the store. */
class FeedDecoder
{
public:
    virtual ~FeedDecoder() = default;

    /** Returns the change that the record makes; nullopt if nodes don't use the record. Throws Error(InvalidValue) if it is malformed. */
    virtual std::optional<FeedChange> decode(FeedTopic topic, const FeedRecord &record, TimePoint now) const = 0;
};

}
