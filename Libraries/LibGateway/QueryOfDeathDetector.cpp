#include <LibGateway/QueryOfDeathDetector.h>

#include <LibPolicy/Hashing.h>

#include <algorithm>
#include <tuple>

namespace Lovageward {

namespace {

/** Number of different times at which upstreams have to crash under a part before it is quarantined. */
constexpr std::size_t quarantineMoments = 3;

/** Crashes that are closer together count once: they can have one cause, such as the loss of a rack or of a link. */
constexpr Duration momentLength = milliseconds(100);

/** Time after a successful run for which a part isn't blamed for crashes. */
constexpr Duration successTrust = seconds(30);

/** Time after its last crash for which a suspect is remembered, and a part stays quarantined. */
constexpr Duration suspicionTime = minutes(10);

/** Gain in the time of the last success that is reported to peers. */
constexpr Duration minimumSuccessGain = seconds(10);

/** Interval at which quarantines are derived again without new evidence. */
constexpr Duration updateInterval = seconds(1);

constexpr std::size_t maximumSuspects = 512;
constexpr std::size_t maximumCrashesPerSuspect = 32;
constexpr std::size_t maximumSuccessesPerGeneration = 8'192;

}

std::uint64_t QueryOfDeathDetector::hashProcess(const UpstreamRecord &upstream)
{
    return hashPair(hashText(upstream.id.value()), hashText(upstream.boot.value()));
}

bool QueryOfDeathDetector::recordCrash(const UpstreamRecord &upstream, std::span<const PromptPart> parts)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto process = hashProcess(upstream);
    bool isChanged = false;
    for (std::size_t position = 0; position < parts.size(); ++position) {
        auto part = hashText(parts[position].id);
        auto successAt = this->localSuccess(part);
        if (successAt && now < *successAt + successTrust) {
            continue;
        }
        auto &entry = this->suspect(part, static_cast<std::uint32_t>(position));
        if (addCrash(entry, process, now)) {
            this->markChanged(entry);
            isChanged = true;
        }
    }
    return isChanged;
}

bool QueryOfDeathDetector::recordSuccess(std::span<const PromptPart> parts)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    bool isChanged = false;
    for (const auto &part : parts) {
        auto hash = hashText(part.id);
        if (this->recentSuccesses.size() >= maximumSuccessesPerGeneration) {
            this->olderSuccesses = std::move(this->recentSuccesses);
            this->recentSuccesses.clear();
        }
        this->recentSuccesses[hash] = now;
        auto found = this->suspects.find(hash);
        if (found == this->suspects.end()) {
            continue;
        }
        auto &entry = found->second;
        if (!entry.successAt || *entry.successAt + minimumSuccessGain < now) {
            this->markChanged(entry);
            isChanged = true;
        }
        entry.successAt = now;
    }
    return isChanged;
}

bool QueryOfDeathDetector::recordPeerReport(const PromptPartReport &report)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    if (report.crashes.empty() && !this->suspects.contains(report.part)) {
        return false;
    }
    auto isNew = !this->suspects.contains(report.part);
    auto &entry = this->suspect(report.part, report.position);
    auto peerSuccessAt = report.successAge ? std::optional(now - *report.successAge) : std::nullopt;
    // Peers don't know of this node's success.
    auto isChanged = isNew && this->hasSucceededLately(entry) && (!peerSuccessAt || *peerSuccessAt + successTrust < now);
    for (const auto &crash : report.crashes) {
        isChanged = addCrash(entry, crash.process, now - crash.age) || isChanged;
    }
    if (peerSuccessAt && (!entry.successAt || *entry.successAt + minimumSuccessGain < *peerSuccessAt)) {
        entry.successAt = peerSuccessAt;
        isChanged = true;
    }
    if (isChanged) {
        this->markChanged(entry);
    }
    return isChanged;
}

std::vector<PromptPartReport> QueryOfDeathDetector::reports(Duration window, bool includeQuarantined, std::size_t maximumCount) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->updateQuarantine();
    auto now = this->clock.now();
    std::vector<Suspects::const_iterator> selected;
    for (auto entry = this->suspects.begin(); entry != this->suspects.end(); ++entry) {
        if (now < entry->second.changedAt + window || (includeQuarantined && this->quarantineEnds.contains(entry->first))) {
            selected.push_back(entry);
        }
    }
    auto rank = [this](const Suspects::const_iterator &entry) {
        return std::tuple(this->quarantineEnds.contains(entry->first), entry->second.crashes.size(), entry->second.changedAt);
    };
    std::sort(selected.begin(), selected.end(), [&](const auto &left, const auto &right) { return rank(left) > rank(right); });
    selected.resize(std::min(maximumCount, selected.size()));
    std::vector<PromptPartReport> reports;
    reports.reserve(selected.size());
    for (const auto &entry : selected) {
        reports.push_back(makeReport(entry->first, entry->second, now));
    }
    return reports;
}

PromptPartReport QueryOfDeathDetector::makeReport(std::uint64_t part, const Suspect &suspect, TimePoint now)
{
    PromptPartReport report;
    report.part = part;
    report.position = suspect.position;
    for (const auto &[process, crashedAt] : suspect.crashes) {
        report.crashes.push_back(PromptPartReport::Crash { process, now - crashedAt });
    }
    // The newest first, as a digest contains only some.
    std::sort(report.crashes.begin(), report.crashes.end(), [](const auto &left, const auto &right) { return left.age < right.age; });
    if (suspect.successAt) {
        report.successAge = now - *suspect.successAt;
    }
    return report;
}

std::optional<PromptQuarantine> QueryOfDeathDetector::findQuarantine(std::span<const PromptPart> parts) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->suspects.empty()) {
        return std::nullopt;
    }
    this->updateQuarantine();
    for (const auto &part : parts) {
        auto found = this->quarantineEnds.find(hashText(part.id));
        if (found != this->quarantineEnds.end()) {
            return PromptQuarantine { part.id, found->second };
        }
    }
    return std::nullopt;
}

bool QueryOfDeathDetector::hasSucceededLately(const Suspect &suspect) const
{
    return suspect.successAt && this->clock.now() < *suspect.successAt + successTrust;
}

std::optional<TimePoint> QueryOfDeathDetector::localSuccess(std::uint64_t part) const
{
    for (const auto *generation : { &this->recentSuccesses, &this->olderSuccesses }) {
        auto found = generation->find(part);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

QueryOfDeathDetector::Suspect &QueryOfDeathDetector::suspect(std::uint64_t part, std::uint32_t position)
{
    auto found = this->suspects.find(part);
    if (found != this->suspects.end()) {
        return found->second;
    }
    if (this->suspects.size() >= maximumSuspects) {
        this->removeWeakestSuspect();
    }
    auto &entry = this->suspects[part];
    entry.position = position;
    entry.successAt = this->localSuccess(part);
    return entry;
}

void QueryOfDeathDetector::removeWeakestSuspect()
{
    auto strength = [](const Suspects::value_type &entry) { return std::pair(entry.second.crashes.size(), entry.second.lastCrashAt); };
    auto weakest
        = std::min_element(this->suspects.begin(), this->suspects.end(), [&](const auto &left, const auto &right) { return strength(left) < strength(right); });
    this->suspects.erase(weakest);
}

bool QueryOfDeathDetector::addCrash(Suspect &suspect, std::uint64_t process, TimePoint crashedAt)
{
    auto [entry, isNew] = suspect.crashes.try_emplace(process, crashedAt);
    if (!isNew) {
        return false;
    }
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, crashedAt);
    if (suspect.crashes.size() > maximumCrashesPerSuspect) {
        auto oldest
            = std::min_element(suspect.crashes.begin(), suspect.crashes.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
        auto isOldestNew = oldest->first == process;
        suspect.crashes.erase(oldest);
        return !isOldestNew;
    }
    return true;
}

void QueryOfDeathDetector::markChanged(Suspect &suspect)
{
    suspect.changedAt = this->clock.now();
    this->updateDueAt = TimePoint();
}

void QueryOfDeathDetector::updateQuarantine() const
{
    auto now = this->clock.now();
    if (now < this->updateDueAt) {
        return;
    }
    this->updateDueAt = now + updateInterval;
    std::erase_if(this->suspects, [&](const auto &entry) { return entry.second.lastCrashAt + suspicionTime < now; });
    this->quarantineEnds.clear();
    std::map<std::uint64_t, TimePoint> explained;
    while (const auto *culprit = this->findCulprit(explained)) {
        this->quarantineEnds[culprit->first] = culprit->second.lastCrashAt + suspicionTime;
        explained.insert(culprit->second.crashes.begin(), culprit->second.crashes.end());
    }
}

const QueryOfDeathDetector::Suspects::value_type *QueryOfDeathDetector::findCulprit(const std::map<std::uint64_t, TimePoint> &explained) const
{
    const Suspects::value_type *culprit = nullptr;
    std::tuple<bool, std::size_t, std::size_t, std::uint32_t, std::uint64_t> highestRank;
    for (const auto &suspect : this->suspects) {
        const auto &[part, history] = suspect;
        if (history.crashes.size() < quarantineMoments || this->hasSucceededLately(history)) {
            continue;
        }
        auto moments = countMoments(history, explained);
        // A part that never succeeded is the likelier cause, then one with more crashes, then a later one, which fewer requests share.
        auto rank = std::tuple(!history.successAt, moments, history.crashes.size(), history.position, part);
        if (moments >= quarantineMoments && (culprit == nullptr || rank > highestRank)) {
            highestRank = rank;
            culprit = &suspect;
        }
    }
    return culprit;
}

std::size_t QueryOfDeathDetector::countMoments(const Suspect &suspect, const std::map<std::uint64_t, TimePoint> &explained)
{
    std::vector<TimePoint> times;
    for (const auto &[process, crashedAt] : suspect.crashes) {
        auto isSinceSuccess = !suspect.successAt || crashedAt > *suspect.successAt;
        if (isSinceSuccess && !explained.contains(process)) {
            times.push_back(crashedAt);
        }
    }
    std::sort(times.begin(), times.end());
    std::size_t moments = 0;
    TimePoint momentEnd;
    for (auto time : times) {
        if (moments == 0 || time >= momentEnd) {
            ++moments;
            momentEnd = time + momentLength;
        }
    }
    return moments;
}

}
