#include <LibGateway/UpstreamSpeedTracker.h>

#include <LibGateway/PeerDigest.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lovageward {

namespace {

/** Time after which a report is no longer used. Runs last 5 to 15 s, so by then up to all those that it counts may have ended. */
constexpr Duration reportLifetime = seconds(5);

/**
 * Time for which an upstream counts as having no room for each request that it has reported as waiting, and one more for its next response. A loaded
 * engine completes about one run per second, which makes room for one waiting request, and it reports its load when that begins. If no later report
 * arrives, the waiting requests were cancelled or the reports were lost.
 */
constexpr Duration waitingTimePerRequest = seconds(1);
constexpr Duration maximumWaitingTime = seconds(4);

/** Time constant with which a report of less load than the sums show loses its weight: meanwhile the other nodes use the free capacity as well. */
constexpr Duration spareCapacityDecay = milliseconds(500);

/** Time constant with which a reported slowness returns to the mean. Machines are slow for about 600 ms at a time. */
constexpr Duration slownessDecay = milliseconds(300);

/** Weight of a report in the mean slowness of its process, which thereby covers tens of seconds. */
constexpr double meanSlownessWeight = 0.05;

/** Weight of a request in the mean service time of its pool. */
constexpr double serviceTimeWeight = 0.05;

/** Service time of a pool in which none has been observed, and lower bound of those observed. */
constexpr Duration defaultServiceTime = milliseconds(30);
constexpr Duration minimumServiceTime = milliseconds(1);

/** Change of the number of requests at an upstream that peers need without delay. Fewer start and end there between two reports anyway. */
constexpr std::int64_t urgentChange = 4;

/** Time after which an unchanged report is sent again while it is being renewed; shorter than a waiting request is trusted. */
constexpr Duration repetitionInterval = milliseconds(700);

/** Age after which a report isn't sent any more. */
constexpr Duration maximumSentAge = milliseconds(1500);

/** Size of an encoded report. */
constexpr double reportBytes = 24;

/** Urgency of a report, in numbers of requests by which it differs from the one before. */
constexpr double waitingChangeUrgency = 100;
constexpr double waitingUrgency = 10;
constexpr double slownessUrgency = 2;

/**
 * Bytes per second of reports that one node sends on a channel, for all receivers together; ForwardToGroup: to each receiver. A node may use 5 KB/s
 * in each direction. It receives as much from its group as it sends there, and the same reports from two relays.
 */
constexpr double groupBytesPerSecond = 600;
constexpr double relayBytesPerSecond = 1'500;
constexpr double forwardBytesPerSecondToEach = 300;

/**
 * Shortest time between two digests that a node sends only because of a report. Otherwise reports are sent with load changes, and the first event of a
 * stream, with which an engine reports its load, is one. A digest to 16 peers takes 2 KB.
 */
constexpr Duration announcementInterval = seconds(5);

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

double allowedRate(ReportChannel channel, std::size_t receivers)
{
    auto count = static_cast<double>(std::max<std::size_t>(1, receivers));
    switch (channel) {
    case ReportChannel::Group:
        return groupBytesPerSecond / reportBytes / count;
    case ReportChannel::Relays:
        return relayBytesPerSecond / reportBytes / count;
    case ReportChannel::ForwardToGroup:
        break;
    }
    return forwardBytesPerSecondToEach / reportBytes;
}

bool isSentOn(ReportChannel channel, ReportOrigin origin)
{
    switch (channel) {
    case ReportChannel::Group:
        return origin == ReportOrigin::Own;
    case ReportChannel::Relays:
        return origin != ReportOrigin::OtherDomain;
    case ReportChannel::ForwardToGroup:
        break;
    }
    return origin == ReportOrigin::OtherDomain;
}

bool isPlausible(const UpstreamSpeedReport &report)
{
    return report.running <= maximumReportedFigure && report.waiting <= maximumReportedFigure
        && (!report.slowness || (*report.slowness > 0 && *report.slowness <= maximumReportedFigure));
}

}

double UpstreamSpeed::factorOver(Duration time) const
{
    auto periods = std::max(toSeconds(time) / toSeconds(slownessDecay), 1e-6);
    auto coveredShare = (1 - std::exp(-periods)) / periods;
    return (this->mean + (this->current - this->mean) * coveredShare) / this->mean;
}

UpstreamSpeedTracker::UpstreamSpeedTracker(const Clock &clock, const LoadTracker &loads, bool appliesToAllPools)
    : clock(clock), loads(loads), appliesToAllPools(appliesToAllPools)
{
}

std::uint32_t UpstreamSpeedTracker::hashBootId(const BootId &boot)
{
    return static_cast<std::uint32_t>(XXH64(boot.value().data(), boot.value().size(), 0));
}

bool UpstreamSpeedTracker::recordReport(const UpstreamRecord &upstream, const ReportedLoad &load, TimePoint receivedAt)
{
    auto upstreamHash = LoadTracker::hashUpstreamId(upstream.id);
    auto bootHash = hashBootId(upstream.boot);
    if (!isPlausible(UpstreamSpeedReport { upstreamHash, bootHash, load.running, load.waiting, load.slowness, Duration(0), false })) {
        return false;
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    if (load.slowness) {
        this->reportingPools.insert(upstream.pool);
    }
    if (!this->appliesToAllPools && !this->reportingPools.contains(upstream.pool)) {
        return false;
    }
    auto known = this->states.find(upstreamHash);
    if (known != this->states.end() && receivedAt < known->second.reportedAt) {
        return false;
    }
    auto now = this->clock.now();
    auto isUrgent = this->replace(upstreamHash, State { bootHash, load.running, load.waiting, load.slowness, 1, receivedAt, ReportOrigin::Own });
    if (!isUrgent || now < this->announcementAllowedAt) {
        return false;
    }
    this->announcementAllowedAt = now + announcementInterval;
    return true;
}

void UpstreamSpeedTracker::recordServiceTime(const UpstreamRecord &upstream, const ReportedLoad &load, Duration time)
{
    if (load.waiting > 0 || load.running >= load.slots || !load.slowness || time <= Duration(0)) {
        return;
    }
    auto usualTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(toSeconds(time) * 100 / *load.slowness));
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &mean = this->serviceTimes.try_emplace(upstream.pool, usualTime).first->second;
    mean += std::chrono::duration_cast<Duration>((usualTime - mean) * serviceTimeWeight);
}

bool UpstreamSpeedTracker::recordPeerReport(const UpstreamSpeedReport &report, ReportOrigin origin)
{
    if (!isPlausible(report)) {
        return false;
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    // With the allowance a delayed report doesn't replace a newer response.
    auto reportedAt = this->clock.now() - report.age - hopAgeAllowance;
    auto known = this->states.find(report.upstreamHash);
    if (known != this->states.end() && reportedAt <= known->second.reportedAt) {
        return false;
    }
    return this->replace(report.upstreamHash, State { report.bootHash, report.running, report.waiting, report.slowness, 1, reportedAt, origin });
}

bool UpstreamSpeedTracker::replace(std::uint64_t upstreamHash, const State &reported)
{
    this->removeExpired();
    auto [entry, isNew] = this->states.try_emplace(upstreamHash, reported);
    auto before = entry->second;
    auto &state = entry->second;
    auto isSameProcess = !isNew && before.bootHash == reported.bootHash;
    state = reported;
    state.meanSlowness = isSameProcess ? before.meanSlowness : 1;
    if (state.slowness) {
        state.meanSlowness += meanSlownessWeight * (*state.slowness / 100.0 - state.meanSlowness);
    }
    if (!isSameProcess) {
        return reported.waiting > 0;
    }
    auto change = std::int64_t { reported.running } + reported.waiting - before.running - before.waiting;
    return (before.waiting > 0) != (reported.waiting > 0) || std::abs(change) >= urgentChange;
}

std::optional<double> UpstreamSpeedTracker::urgency(ReportChannel channel, std::uint64_t upstreamHash, const State &state, double meanRequests) const
{
    auto now = this->clock.now();
    if (!isSentOn(channel, state.origin) || state.reportedAt + maximumSentAge < now) {
        return std::nullopt;
    }
    const auto &sentStates = this->channels[static_cast<std::size_t>(channel)].sent;
    auto found = sentStates.find(upstreamHash);
    auto requests = static_cast<double>(state.running + state.waiting);
    if (found == sentStates.end() || found->second.bootHash != state.bootHash || found->second.sentAt + reportLifetime < now) {
        return (state.waiting > 0 ? waitingChangeUrgency : 0) + std::abs(requests - meanRequests);
    }
    const auto &sent = found->second;
    if (state.reportedAt <= sent.reportedAt) {
        return std::nullopt;
    }
    auto hasWaitingChanged = (state.waiting > 0) != sent.hasWaiting;
    auto difference = std::abs(requests - static_cast<double>(sent.requests));
    // Other domains learn of a slowness when it is mostly over.
    auto slownessChange = channel == ReportChannel::Group ? std::abs(static_cast<double>(state.slowness.value_or(0)) - sent.slowness) / 100 : 0;
    if (!hasWaitingChanged && difference < 1 && slownessChange < 0.5 && now < sent.sentAt + repetitionInterval) {
        return std::nullopt;
    }
    return (hasWaitingChanged ? waitingChangeUrgency : 0) + (state.waiting > 0 ? waitingUrgency : 0) + difference + slownessUrgency * slownessChange
        + toSeconds(now - sent.sentAt);
}

void UpstreamSpeedTracker::updateAllowance(ReportChannel channel, std::size_t receivers)
{
    auto now = this->clock.now();
    auto &entry = this->channels[static_cast<std::size_t>(channel)];
    auto rate = allowedRate(channel, receivers);
    // Up to one second's reports may be sent together, and always at least one.
    auto limit = std::clamp(rate, 1.0, static_cast<double>(maximumSpeedReports));
    entry.allowance = std::min(limit, entry.allowance + rate * toSeconds(now - entry.allowanceUpdatedAt));
    entry.allowanceUpdatedAt = now;
}

std::vector<UpstreamSpeedReport> UpstreamSpeedTracker::takeReports(ReportChannel channel, std::size_t receivers)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (receivers == 0 || this->states.empty()) {
        return {};
    }
    this->removeExpired();
    this->updateAllowance(channel, receivers);
    auto &entry = this->channels[static_cast<std::size_t>(channel)];
    auto count = std::min(static_cast<std::size_t>(entry.allowance), maximumSpeedReports);
    if (count == 0) {
        return {};
    }
    double totalRequests = 0;
    for (const auto &[upstreamHash, state] : this->states) {
        totalRequests += static_cast<double>(state.running + state.waiting);
    }
    auto meanRequests = totalRequests / static_cast<double>(this->states.size());
    std::vector<std::pair<double, std::uint64_t>> urgencies;
    for (const auto &[upstreamHash, state] : this->states) {
        if (auto value = this->urgency(channel, upstreamHash, state, meanRequests)) {
            urgencies.emplace_back(*value, upstreamHash);
        }
    }
    count = std::min(count, urgencies.size());
    std::partial_sort(urgencies.begin(), urgencies.begin() + static_cast<std::ptrdiff_t>(count), urgencies.end(), std::greater<>());
    auto now = this->clock.now();
    std::vector<UpstreamSpeedReport> reports;
    for (std::size_t position = 0; position < count; ++position) {
        auto upstreamHash = urgencies[position].second;
        const auto &state = this->states.at(upstreamHash);
        auto isFromOtherDomain = state.origin == ReportOrigin::OtherDomain;
        reports.push_back(
            UpstreamSpeedReport { upstreamHash, state.bootHash, state.running, state.waiting, state.slowness, now - state.reportedAt, isFromOtherDomain });
        entry.sent[upstreamHash]
            = SentState { state.bootHash, state.running + state.waiting, state.waiting > 0, state.slowness.value_or(0), state.reportedAt, now };
    }
    entry.allowance -= static_cast<double>(count);
    return reports;
}

UpstreamEstimate UpstreamSpeedTracker::estimate(const UpstreamRecord &upstream, const IndirectLoad &indirect)
{
    UpstreamEstimate estimate;
    estimate.indirectLoad = indirect.share;
    auto upstreamHash = LoadTracker::hashUpstreamId(upstream.id);
    auto now = this->clock.now();
    State state;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->states.find(upstreamHash);
        if (found == this->states.end() || found->second.bootHash != hashBootId(upstream.boot) || now >= found->second.reportedAt + reportLifetime) {
            return estimate;
        }
        state = found->second;
        if (state.slowness) {
            this->reportingPools.insert(upstream.pool);
        }
        if (!this->appliesToAllPools && !this->reportingPools.contains(upstream.pool)) {
            return estimate;
        }
        auto serviceTime = this->serviceTimes.find(upstream.pool);
        estimate.serviceTime = serviceTime == this->serviceTimes.end() ? defaultServiceTime : std::max<Duration>(serviceTime->second, minimumServiceTime);
    }
    auto age = now - state.reportedAt;
    auto current = state.slowness ? *state.slowness / 100.0 : state.meanSlowness;
    estimate.speed
        = UpstreamSpeed { state.meanSlowness, state.meanSlowness + (current - state.meanSlowness) * std::exp(-toSeconds(age) / toSeconds(slownessDecay)) };
    // Each known run that ended since, without another one in its place, has made room for a waiting request.
    auto knownRuns = this->loads.knownRunsAt(upstreamHash, state.reportedAt);
    auto endedRuns = std::max<std::int64_t>(0, knownRuns - this->loads.knownRunsAt(upstreamHash, now));
    auto stillWaiting = std::max<std::int64_t>(0, std::int64_t { state.waiting } - endedRuns);
    estimate.hasWaitingRequests = stillWaiting > 0 && age < std::min<Duration>(maximumWaitingTime, waitingTimePerRequest * (stillWaiting + 1));

    auto unknownRuns = static_cast<double>(std::max<std::int64_t>(0, std::int64_t { state.running } + state.waiting - knownRuns));
    auto shareOfRuns = static_cast<double>(indirect.share.decodingRuns);
    auto weight = unknownRuns >= shareOfRuns ? 1 : std::exp(-toSeconds(age) / toSeconds(spareCapacityDecay));
    auto difference = (unknownRuns - shareOfRuns) * weight;
    auto &load = estimate.indirectLoad;
    load.decodingRuns = static_cast<std::uint32_t>(std::lround(shareOfRuns + difference));
    load.runs = static_cast<std::uint32_t>(std::lround(std::max(0.0, static_cast<double>(indirect.share.runs) + difference)));
    load.peakTokens = std::max(0.0, load.peakTokens + difference * indirect.peakTokensPerRun);
    // Of the waiting requests, as many as possible are taken for those that this node doesn't know, because known ones are counted with their prompts.
    auto unknownPrompts = std::min(static_cast<double>(stillWaiting), unknownRuns);
    load.pendingPrefillTokens = std::max(load.pendingPrefillTokens, unknownPrompts * indirect.promptTokensPerRun);
    return estimate;
}

bool UpstreamSpeedTracker::appliesToAnyPool() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->appliesToAllPools || !this->reportingPools.empty();
}

void UpstreamSpeedTracker::removeExpired()
{
    auto now = this->clock.now();
    if (now < this->removalDueAt) {
        return;
    }
    this->removalDueAt = now + reportLifetime;
    // The mean slowness outlives the report, so that a process that is used rarely keeps it.
    constexpr Duration meanRetention = minutes(1);
    std::erase_if(this->states, [&](const auto &entry) { return entry.second.reportedAt + meanRetention < now; });
    for (auto &channel : this->channels) {
        std::erase_if(channel.sent, [&](const auto &entry) { return entry.second.sentAt + reportLifetime < now; });
    }
}

}
