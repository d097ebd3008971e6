#include <LibPolicy/MemoryForecast.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

/** Time between snapshots. All snapshots together span more than the longest lag that ReportLagEstimator detects. */
constexpr auto snapshotSpacing = milliseconds(500);
/**
 * Weight, in blocks, of the assumption that other nodes' memory use stays constant. It dominates the typical profile while the
 * profile rests on few requests.
 */
constexpr double constantUseWeight = 500;
/** Standard deviation of other nodes' memory use, as a share of it, while no typical profile is known. */
constexpr double unknownWorkDeviation = 0.05;

}

void MemoryForecast::replaceWork(const MemoryProfile &removed, const MemoryProfile &added, int countChange, TimePoint now)
{
    this->ownWork -= removed;
    this->ownWork += added;
    this->ownCount += countChange;
    if (this->ownCount == 0) {
        // Clears the rounding errors that additions and subtractions accumulate.
        this->ownWork = MemoryProfile();
    }
    this->recordSnapshot(now);
}

void MemoryForecast::recordSnapshot(TimePoint now)
{
    if (this->snapshots[this->newestSnapshot].at + snapshotSpacing < now) {
        this->newestSnapshot = (this->newestSnapshot + 1) % snapshotCount;
        this->snapshots[this->newestSnapshot].at = now;
    }
    this->snapshots[this->newestSnapshot].count = this->ownCount;
    this->snapshots[this->newestSnapshot].mean = this->ownWork.mean;
}

MemoryForecast::Snapshot MemoryForecast::snapshotAt(TimePoint time) const
{
    for (std::size_t back = 0; back < snapshotCount; ++back) {
        const auto &snapshot = this->snapshots[(this->newestSnapshot + snapshotCount - back) % snapshotCount];
        if (snapshot.at <= time) {
            return snapshot;
        }
    }
    return this->snapshots[(this->newestSnapshot + 1) % snapshotCount];
}

void MemoryForecast::applyReport(const UpstreamSummary &summary, const MemoryProfile &typical, ReportLagEstimator &lagEstimator, double newRoundingDraw)
{
    if (!summary.hasReport || (this->hasReport && summary.measuredAt == this->reportedAt)) {
        return;
    }
    this->observeLag(summary, lagEstimator);
    this->hasReport = true;
    this->reportedAt = summary.measuredAt;
    this->roundingDraw = newRoundingDraw;
    this->totalBlocks = static_cast<double>(summary.kvBlocksTotal);
    this->ownWorkAtReport = this->snapshotAt(summary.measuredAt - lagEstimator.lag());
    auto used = static_cast<double>(summary.kvBlocksUsed);
    auto otherBlocks = std::max(0.0, used - this->ownWorkAtReport.mean[0]);
    // Requests that wait at the engine hold no memory yet, but will need about as much as the running ones.
    auto blocksPerRequest = used / std::max(1U, summary.running);
    this->estimateOtherNodes(otherBlocks + blocksPerRequest * summary.waiting, typical);
}

void MemoryForecast::observeLag(const UpstreamSummary &summary, ReportLagEstimator &lagEstimator)
{
    auto used = static_cast<double>(summary.kvBlocksUsed);
    ReportLagEstimator::OwnBlocks ownBlocks {};
    ReportLagEstimator::OwnBlocks changes {};
    for (std::size_t index = 0; index < ReportLagEstimator::candidateCount; ++index) {
        ownBlocks[index] = this->snapshotAt(summary.measuredAt - ReportLagEstimator::lagStep * index).mean[0];
        changes[index] = ownBlocks[index] - this->ownBlocksAtLags[index];
    }
    if (this->hasReport) {
        lagEstimator.observe(used - this->usedBlocks, changes);
    }
    this->usedBlocks = used;
    this->ownBlocksAtLags = ownBlocks;
}

void MemoryForecast::estimateOtherNodes(double blocks, const MemoryProfile &typical)
{
    auto typicalBlocks = typical.mean[0] + constantUseWeight;
    auto unknown = unknownWorkDeviation * blocks * constantUseWeight / typicalBlocks;
    for (std::size_t index = 0; index < MemoryProfile::horizonCount; ++index) {
        this->otherNodes.mean[index] = blocks * (typical.mean[index] + constantUseWeight) / typicalBlocks;
        this->otherNodes.variance[index] = typical.variance[index] * blocks / typicalBlocks + unknown * unknown;
    }
}

std::optional<double> MemoryForecast::headroomAfter(const MemoryProfile &need, const AdmissionBound &bound) const
{
    auto smallest = this->totalBlocks;
    for (std::size_t index = 0; index < MemoryProfile::horizonCount; ++index) {
        auto variance = this->ownWork.variance[index] + this->otherNodes.variance[index] + need.variance[index];
        auto margin = bound.deviations * std::sqrt(std::max(0.0, variance));
        auto expected = this->ownWorkAtReport.mean[index] + this->otherNodes.mean[index];
        auto room = this->totalBlocks * bound.fillLimit - expected - margin;
        auto share = room > 0 ? room / bound.nodeCount : room;
        auto sent = this->ownWork.mean[index] - this->ownWorkAtReport.mean[index];
        // A share of less than one request is rounded up or down at random, once per report, so that all nodes together
        // use the free memory about once.
        if (sent + need.mean[index] > share + this->roundingDraw * need.mean[index]) {
            return std::nullopt;
        }
        smallest = std::min(smallest, room - sent * bound.nodeCount - need.mean[index]);
    }
    return smallest / std::max(1.0, this->totalBlocks);
}

double MemoryForecast::load(double nodes) const
{
    if (this->totalBlocks <= 0) {
        return 1;
    }
    auto sent = this->ownWork.mean[0] - this->ownWorkAtReport.mean[0];
    auto scaled = sent > 0 ? sent * nodes : sent;
    return (this->ownWorkAtReport.mean[0] + this->otherNodes.mean[0] + scaled) / this->totalBlocks;
}

std::int32_t MemoryForecast::outstanding() const
{
    return this->ownCount;
}

}
