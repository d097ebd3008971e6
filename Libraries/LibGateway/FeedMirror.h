#pragma once

#include <LibGateway/StateFeed.h>

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Lovageward {

/**
 * Keeps the newest record of every key that this node has read, for peers that can't read the store themselves. Thread-safe; its mutex is a leaf
 * lock.
 */
class FeedMirror
{
public:
    /** Stores the record if it is newer than the stored one of its key. Returns false otherwise. */
    bool putIfNewer(FeedTopic topic, const FeedRecord &record);

    /** Replaces the value of a key at its position, for a record that is older than its position in the store. */
    void replaceValue(FeedTopic topic, const std::string &key, const std::string &value);

    /** The newest record of the key, if any. */
    std::optional<FeedRecord> find(FeedTopic topic, const std::string &key) const;

    /** Sets the position up to which the topic was read. A position before the current one is ignored. */
    void advanceTo(FeedTopic topic, const FeedPosition &nextPosition);

    /** The position up to which the topic was read. */
    FeedPosition nextPosition(FeedTopic topic) const;

    /** Keys that have a value of the topic's era here and are absent from `listed`, a complete listing of the topic in the same era. */
    std::vector<std::string> keysMissingFrom(FeedTopic topic, const std::vector<FeedRecord> &listed) const;

    /** Keys that have a value from an era before the topic's: the store hasn't returned them since it was restored. */
    std::vector<std::string> keysOfOlderEras(FeedTopic topic) const;

    /** The newest records of all keys that changed at `position` or later, oldest first. */
    FeedPage recordsSince(FeedTopic topic, const FeedPosition &position) const;

private:
    struct Topic
    {
        std::map<std::string, FeedRecord> newest;
        FeedPosition nextPosition;
    };

    const Topic &at(FeedTopic topic) const
    {
        return this->topics[static_cast<std::size_t>(topic)];
    }

    mutable std::mutex mutex;
    std::array<Topic, feedTopicCount> topics;
};

}
