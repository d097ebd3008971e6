#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/MemoryProfile.h>
#include <LibPolicy/ReportLagEstimator.h>
#include <LibPolicy/UpstreamSummary.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Lovageward {

/** Limits on the use of an engine's KV memory when a request is admitted. */
struct AdmissionBound
{
    /** Headroom between the expected use and the limit, in standard deviations of the forecast. */
    double deviations = 2;
    /** Share of the memory that may be used. */
    double fillLimit = 1;
    /** Number of nodes that place requests on the same engine. */
    double nodeCount = 1;
};

/**
 * A node's forecast of the KV memory of one engine. The last report gives the memory that the requests of all nodes use; the
 * node's own requests are known individually, before and after the report. A node may use only its share of the free memory in
 * a report, since the other nodes see the same report. Memory that its own requests free afterwards it may use again in full.
 */
class MemoryForecast
{
public:
    /**
     * Replaces the profile `removed` of own requests by `added`. Either may be empty, for requests that start or end; `countChange`
     * is the change in the number of own requests.
     */
    void replaceWork(const MemoryProfile &removed, const MemoryProfile &added, int countChange, TimePoint now);

    /**
     * Applies a report if it is new. `typical` is the profile of the pool's requests, which the requests of other nodes are
     * assumed to follow in mean and variance. `lagEstimator` is updated with the report and gives the lag by which its time of
     * measurement is corrected. `newRoundingDraw` is uniform in [0, 1).
     */
    void applyReport(const UpstreamSummary &summary, const MemoryProfile &typical, ReportLagEstimator &lagEstimator, double newRoundingDraw);

    /**
     * Free memory after placing a request with the profile `need`, at the horizon where it is smallest, as a share of all
     * memory. Empty if the request doesn't fit into this node's share.
     */
    std::optional<double> headroomAfter(const MemoryProfile &need, const AdmissionBound &bound) const;

    /** Expected share of the memory in use now, 1 if full, including requests that the other nodes have placed since the report. */
    double load(double nodes) const;

    /** Number of running requests of this node. */
    std::int32_t outstanding() const;

private:
    /** Own requests at a point in time. */
    struct Snapshot
    {
        TimePoint at;
        std::int32_t count = 0;
        std::array<double, MemoryProfile::horizonCount> mean {};
    };

    void estimateOtherNodes(double blocks, const MemoryProfile &typical);
    void observeLag(const UpstreamSummary &summary, ReportLagEstimator &lagEstimator);
    void recordSnapshot(TimePoint now);
    Snapshot snapshotAt(TimePoint time) const;

    static constexpr std::size_t snapshotCount = 16;

    MemoryProfile ownWork;
    std::int32_t ownCount = 0;
    /** Ring buffer of own requests over the last seconds, for comparison with late reports. */
    std::array<Snapshot, snapshotCount> snapshots {};
    std::size_t newestSnapshot = 0;

    TimePoint reportedAt;
    bool hasReport = false;
    double totalBlocks = 0;
    /** Random number in [0, 1) that was drawn for the last report; see headroomAfter. */
    double roundingDraw = 0;
    double usedBlocks = 0;
    /** Memory of own requests at the time of the last report less each candidate lag. */
    ReportLagEstimator::OwnBlocks ownBlocksAtLags {};
    Snapshot ownWorkAtReport;
    MemoryProfile otherNodes;
};

}
