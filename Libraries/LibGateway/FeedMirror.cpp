#include <LibGateway/FeedMirror.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace Lovageward {

bool FeedMirror::putIfNewer(FeedTopic topic, const FeedRecord &record)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &newest = this->topics[static_cast<std::size_t>(topic)].newest;
    auto found = newest.find(record.key);
    if (found != newest.end() && found->second.position() >= record.position()) {
        return false;
    }
    newest[record.key] = record;
    return true;
}

void FeedMirror::replaceValue(FeedTopic topic, const std::string &key, const std::string &value)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &newest = this->topics[static_cast<std::size_t>(topic)].newest;
    auto found = newest.find(key);
    if (found != newest.end()) {
        found->second.value = value;
    }
}

std::optional<FeedRecord> FeedMirror::find(FeedTopic topic, const std::string &key) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    const auto &newest = this->at(topic).newest;
    auto found = newest.find(key);
    return found == newest.end() ? std::nullopt : std::optional<FeedRecord>(found->second);
}

void FeedMirror::advanceTo(FeedTopic topic, const FeedPosition &nextPosition)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &held = this->topics[static_cast<std::size_t>(topic)].nextPosition;
    held = std::max(held, nextPosition);
}

FeedPosition FeedMirror::nextPosition(FeedTopic topic) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->at(topic).nextPosition;
}

std::vector<std::string> FeedMirror::keysMissingFrom(FeedTopic topic, const std::vector<FeedRecord> &listed) const
{
    std::set<std::string_view> keys;
    for (const auto &record : listed) {
        keys.insert(record.key);
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> missing;
    for (const auto &[key, record] : this->at(topic).newest) {
        auto isOfTopicEra = record.era == this->at(topic).nextPosition.era;
        if (isOfTopicEra && !record.value.empty() && !keys.contains(key)) {
            missing.push_back(key);
        }
    }
    return missing;
}

std::vector<std::string> FeedMirror::keysOfOlderEras(FeedTopic topic) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> keys;
    for (const auto &[key, record] : this->at(topic).newest) {
        if (!record.value.empty() && record.era < this->at(topic).nextPosition.era) {
            keys.push_back(key);
        }
    }
    return keys;
}

FeedPage FeedMirror::recordsSince(FeedTopic topic, const FeedPosition &position) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    FeedPage page;
    page.nextOffset = this->at(topic).nextPosition.offset;
    page.era = this->at(topic).nextPosition.era;
    for (const auto &[key, record] : this->at(topic).newest) {
        if (record.position() >= position) {
            page.records.push_back(record);
        }
    }
    std::sort(page.records.begin(), page.records.end(), [](const auto &left, const auto &right) { return left.position() < right.position(); });
    return page;
}

}
