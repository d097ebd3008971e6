#pragma once

#include <LibClaims/ClaimOwner.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibMembership/Membership.h>
#include <LibPeer/PeerTransport.h>

#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace Lovageward {

/**
 * Holds the partitions that this node owns and handles the messages ClaimRequest and ClaimResult. Worker threads step the
 * partitions; tests call stepDue() instead of start(). A partition is taken over with its first request and dropped when
 * rendezvous hashing assigns it to another node.
 * Lock order: the service's mutex, then an owner's mutex; neither is held during I/O.
 */
class ClaimService final : public PeerHandler
{
public:
    ClaimService(LogService &log,
                 const Membership &membership,
                 const Clock &clock,
                 RandomSource &random,
                 const Logger &logger,
                 Counters &counters,
                 const ClaimSettings &settings);
    ~ClaimService() override;

    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /** Starts the worker threads. */
    void start(unsigned threads);

    /** Stops and joins the worker threads. Pending claims are left to the next owner. */
    void stop();

    /** Handles ClaimRequest and ClaimResult. Blocks for 250 ms at most, even if the log takes longer. */
    std::string handle(const PeerMessage &message) override;

    /** Handles a request of a runner on this node. Waits for a decision until `waitUntil` at most. */
    ClaimAnswer claim(const ClaimRequest &request, TimePoint waitUntil);
    ReportState report(const ClaimReport &report);

    /** Steps each partition that is due; used by worker threads, tests and benchmarks. Returns the next due time. */
    TimePoint stepDue();

    /** Totals over the owned partitions. */
    ClaimOwnerCounts counts() const;
    std::size_t rememberedKeyCount() const;

private:
    struct Slot
    {
        std::shared_ptr<ClaimOwner> owner;
        TimePoint dueAt = TimePoint::max();
        bool isStepping = false;
    };

    bool isOwned(PartitionId partition) const;
    std::shared_ptr<ClaimOwner> findOrCreateOwner(const std::string &key);
    void schedulePartition(PartitionId partition);
    void dropMovedPartitions();
    void enforceKeyLimit();
    struct DueSlot
    {
        std::size_t index;
        std::shared_ptr<ClaimOwner> owner;
    };

    std::optional<DueSlot> takeDueSlot();
    void finishStep(std::size_t index, TimePoint dueAt);
    TimePoint earliestDueTime() const;
    void runWorker();
    void addToCounters(const ClaimOwnerCounts &before, const ClaimOwnerCounts &after);

    LogService &log;
    const Membership &membership;
    const Clock &clock;
    RandomSource &random;
    Logger logger;
    ClaimSettings settings;
    Counter &appends;
    Counter &appendedBytes;
    Counter &failedAppends;
    Counter &unknownAppends;
    Counter &acceptedClaims;
    Counter &releasedClaims;
    Counter &refusedClaims;
    Counter &ownerships;
    Counter &ownedPartitions;
    Counter &keys;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::array<Slot, claimPartitions> slots;
    TimePoint ownershipCheckedAt;
    unsigned waiters = 0;
    bool isStopping = false;
    std::vector<std::thread> threads;
};

}
