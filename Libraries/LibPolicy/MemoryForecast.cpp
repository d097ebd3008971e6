#include <LibPolicy/MemoryForecast.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

/** Sixteen snapshots at this distance cover the longest lag that is recognised. */
constexpr auto snapshotSpacing = milliseconds(500);
/** Blocks of own work below which it says little about the others' work; a flat development is mixed in with this weight. */
constexpr double typicalWeight = 500;
/** Standard deviation of others' memory, as a share, while this node has no work to compare with. */
constexpr double unknownDeviation = 0.05;

}

void MemoryForecast::change(const MemoryProfile &removed, const MemoryProfile &added, int countChange, TimePoint now)
{
    this->own -= removed;
    this->own += added;
    this->ownCount += countChange;
    if (this->ownCount == 0) {
        // Ends the drift from adding and subtracting rounded numbers.
        this->own = MemoryProfile();
    }
    this->remember(now);
}

void MemoryForecast::remember(TimePoint now)
{
    if (this->snapshots[this->newest].at + snapshotSpacing < now) {
        this->newest = (this->newest + 1) % snapshotCount;
        this->snapshots[this->newest].at = now;
    }
    this->snapshots[this->newest].count = this->ownCount;
    this->snapshots[this->newest].mean = this->own.mean;
}

MemoryForecast::Snapshot MemoryForecast::ownAt(TimePoint time) const
{
    for (std::size_t back = 0; back < snapshotCount; ++back) {
        const auto &snapshot = this->snapshots[(this->newest + snapshotCount - back) % snapshotCount];
        if (snapshot.at <= time) {
            return snapshot;
        }
    }
    return this->snapshots[(this->newest + 1) % snapshotCount];
}

void MemoryForecast::refresh(const UpstreamBrief &brief, const MemoryProfile &typical, ReportLag &lag, double newDraw)
{
    if (!brief.hasReport || (this->hasReport && brief.measuredAt == this->reportedAt)) {
        return;
    }
    this->learnLag(brief, lag);
    this->hasReport = true;
    this->reportedAt = brief.measuredAt;
    this->draw = newDraw;
    this->totalBlocks = static_cast<double>(brief.kvBlocksTotal);
    this->ownAtReport = this->ownAt(brief.measuredAt - lag.lag());
    auto used = static_cast<double>(brief.kvBlocksUsed);
    auto foreign = std::max(0.0, used - this->ownAtReport.mean[0]);
    // Work that waits at the engine holds no memory yet, but will hold about as much as what runs.
    auto perPiece = used / std::max(1U, brief.running);
    this->estimateOthers(foreign + perPiece * brief.waiting, typical);
}

void MemoryForecast::learnLag(const UpstreamBrief &brief, ReportLag &lag)
{
    auto used = static_cast<double>(brief.kvBlocksUsed);
    ReportLag::OwnBlocks own {};
    ReportLag::OwnBlocks changes {};
    for (std::size_t index = 0; index < ReportLag::candidateCount; ++index) {
        own[index] = this->ownAt(brief.measuredAt - ReportLag::step * index).mean[0];
        changes[index] = own[index] - this->ownAtLags[index];
    }
    if (this->hasReport) {
        lag.observe(used - this->usedBlocks, changes);
    }
    this->usedBlocks = used;
    this->ownAtLags = own;
}

void MemoryForecast::estimateOthers(double blocks, const MemoryProfile &typical)
{
    auto typicalBlocks = typical.mean[0] + typicalWeight;
    auto unknown = unknownDeviation * blocks * typicalWeight / typicalBlocks;
    for (std::size_t index = 0; index < MemoryProfile::horizonCount; ++index) {
        this->others.mean[index] = blocks * (typical.mean[index] + typicalWeight) / typicalBlocks;
        this->others.variance[index] = typical.variance[index] * blocks / typicalBlocks + unknown * unknown;
    }
}

std::optional<double> MemoryForecast::roomAfter(const MemoryProfile &need, const AdmissionBound &bound) const
{
    auto smallest = this->totalBlocks;
    for (std::size_t index = 0; index < MemoryProfile::horizonCount; ++index) {
        auto variance = this->own.variance[index] + this->others.variance[index] + need.variance[index];
        auto margin = bound.deviations * std::sqrt(std::max(0.0, variance));
        auto expected = this->ownAtReport.mean[index] + this->others.mean[index];
        auto room = this->totalBlocks * bound.fill - expected - margin;
        auto share = room > 0 ? room / bound.nodes : room;
        auto sent = this->own.mean[index] - this->ownAtReport.mean[index];
        // The draw rounds a share of less than one piece of work up or down at random, once per report, so that all nodes
        // together use the room once.
        if (sent + need.mean[index] > share + this->draw * need.mean[index]) {
            return std::nullopt;
        }
        smallest = std::min(smallest, room - sent * bound.nodes - need.mean[index]);
    }
    return smallest / std::max(1.0, this->totalBlocks);
}

double MemoryForecast::load(double nodes) const
{
    if (this->totalBlocks <= 0) {
        return 1;
    }
    auto sent = this->own.mean[0] - this->ownAtReport.mean[0];
    auto scaled = sent > 0 ? sent * nodes : sent;
    return (this->ownAtReport.mean[0] + this->others.mean[0] + scaled) / this->totalBlocks;
}

std::int32_t MemoryForecast::outstanding() const
{
    return this->ownCount;
}

}
