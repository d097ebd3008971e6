#pragma once

#include "GatewayFixture.h"

#include <LibCore/Error.h>
#include <LibGateway/FeedFollower.h>

#include <functional>
#include <map>
#include <optional>

namespace Lovageward {

/** A store in memory that can be down, forget its history, or answer with what a test sets. */
class FakeFeed final : public StateFeed
{
public:
    FeedListing listNewest(FeedTopic /*topic*/, const std::optional<std::string> &afterKey, TimePoint /*deadline*/) override
    {
        ++this->calls;
        this->checkUp();
        FeedListing listing;
        listing.page.nextOffset = this->log.size();
        for (const auto &[key, record] : this->newest) {
            if (record.value.empty() || (afterKey && key <= *afterKey)) {
                continue;
            }
            listing.hasMore = listing.page.records.size() == this->pageSize;
            if (listing.hasMore) {
                break;
            }
            listing.page.records.push_back(record);
        }
        if (this->onPage) {
            this->onPage();
        }
        return listing;
    }

    FeedPage readFrom(FeedTopic /*topic*/, std::uint64_t offset, Duration /*wait*/, TimePoint /*deadline*/) override
    {
        ++this->calls;
        this->checkUp();
        if (offset < this->firstKept) {
            throw Error(ResultCode::RecordsExpired, RunState::NotRun, "expired");
        }
        FeedPage page;
        for (auto at = offset; at < this->log.size(); ++at) {
            page.records.push_back(this->log[at]);
        }
        page.nextOffset = this->log.size();
        return page;
    }

    void write(const std::string &key, const std::string &value)
    {
        FeedRecord record { key, value, this->log.size() };
        this->log.push_back(record);
        this->newest[key] = record;
    }

    bool isDown = false;
    std::size_t pageSize = 500;
    /** Called after each page of a listing. */
    std::function<void()> onPage;
    std::uint64_t firstKept = 0;
    int calls = 0;
    std::vector<FeedRecord> log;
    std::map<std::string, FeedRecord> newest;

private:
    void checkUp() const
    {
        if (this->isDown) {
            throw Error(ResultCode::LogUnavailable, RunState::Unknown, "down");
        }
    }
};

/** "vN" is a configuration of version N, "drain:D" drains D, and any other key names an upstream whose value is its boot or "draining". */
class FakeDecoder final : public FeedDecoder
{
public:
    std::optional<FeedChange> decode(FeedTopic topic, const FeedRecord &record, TimePoint /*now*/) const override
    {
        if (record.value == "broken") {
            throw Error(ResultCode::InvalidValue, RunState::NotRun, "broken");
        }
        if (topic == FeedTopic::Operators && record.key == "config") {
            return std::make_shared<const GatewayConfig>(
                ConfigVersion(std::stoull(record.value)), std::vector<Route> {}, std::vector<UpstreamPool> {}, std::vector<GatewayTeam> {}, CallerLimits());
        }
        if (topic == FeedTopic::Operators) {
            return DrainChange { FailureDomainId(record.key), !record.value.empty() };
        }
        if (record.value.empty()) {
            return UpstreamRemoval { UpstreamId(record.key) };
        }
        auto entry = upstreamRecord(record.key);
        entry.isDraining = record.value == "draining";
        return entry;
    }
};

class FakePeers final : public PeerFeed
{
public:
    FeedPage pull(FeedTopic topic, std::uint64_t offset) override
    {
        ++this->pulls;
        if (this->source == nullptr) {
            throw Error(ResultCode::PeerUnreachable, RunState::NotRun, "no peer");
        }
        return this->source->since(topic, offset);
    }

    bool isAnyAhead(FeedTopic topic, std::uint64_t offset) const override
    {
        return this->source != nullptr && this->source->nextOffset(topic) > offset;
    }

    bool isReader(FeedTopic /*topic*/) const override
    {
        return this->reads;
    }

    TimePoint coveredUntil(FeedTopic /*topic*/) const override
    {
        return this->covered;
    }

    bool isSettled() const override
    {
        return this->settled;
    }

    Duration listingGrace() override
    {
        return this->grace;
    }

    Duration spread() override
    {
        return this->spreadBy;
    }

    Duration spreadBy { 0 };
    Duration grace { milliseconds(200) };
    const FeedMirror *source = nullptr;
    bool reads = true;
    bool settled = true;
    TimePoint covered;
    int pulls = 0;
};

class CountingListener final : public FeedListener
{
public:
    void recordsRead(const FeedPiece &piece) override
    {
        ++this->calls;
        this->last = piece;
    }

    void recordsComplete(FeedTopic /*topic*/) override
    {
        ++this->completed;
    }

    int calls = 0;
    int completed = 0;
    FeedPiece last;
};

}
