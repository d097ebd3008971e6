#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCore/RandomSource.h>
#include <LibCredits/ColdStartLease.h>
#include <LibCredits/CreditLedger.h>
#include <LibCredits/LoadReportListener.h>
#include <LibMembership/PeriodicTask.h>
#include <LibPeer/PeerTransport.h>

#include <map>
#include <mutex>
#include <vector>

namespace Lovageward {

struct CreditOwnerOptions
{
    CreditOptions credits;
    /** Time between steps. */
    Duration period = milliseconds(200);
    /** Time after the last credit request for which the lease of a cold upstream is renewed. */
    Duration demandRetention = seconds(15);
    /** Remaining lease time below which the lease is renewed. */
    Duration renewBeforeExpiry = seconds(5);
    /** Time between attempts to acquire or renew a lease; each attempt may append a record to the log. */
    Duration leaseRetryInterval = seconds(1);
    /** Time after which a node that got fewer credits than it requested should request again. */
    Duration retryAfter = seconds(1);
};

/**
 * Grants credits for the cold upstreams that this node polls, while it holds their leases `cold/<upstream>`. Register it at
 * the PeerRouter for CreditRequest and CreditReturn, as listener of the LoadPoller, and run it by a TaskThread.
 *
 * If two nodes consider themselves the owner, only the lease holder grants. A paused owner grants nothing after its lease has
 * ended, because each grant checks the end of the lease by the owner's own clock. If the owner dies, its lease lapses, and
 * the next holder waits as described at CreditLedger::takeOver().
 * Thread-safe. Lock order: the mutex guards the ledgers; lease and transport are called without holding it.
 */
class CreditOwner final : public PeerHandler, public PeriodicTask, public LoadReportListener
{
public:
    CreditOwner(const Clock &clock, RandomSource &random, ColdStartLease &lease, LogSink &sink, Counters &counters, const CreditOwnerOptions &options = {});

    /** Doesn't block. Grants no credits unless this node holds the lease and has polled a load report within the maximum age. */
    std::string handle(const PeerMessage &message) override;

    /** Acquires and renews the leases of cold upstreams for which credits were requested lately. Blocks on the log. */
    TimePoint step() override;

    void loadReported(const UpstreamId &upstream, const LoadReport &report) override;
    void upstreamUnreachable(const UpstreamId &upstream) override;
    void pollingStopped(const UpstreamId &upstream) override;

private:
    struct OwnedUpstream
    {
        explicit OwnedUpstream(const CreditOptions &options) : ledger(options)
        {
        }

        CreditLedger ledger;
        TimePoint demandUntil;
        TimePoint nextLeaseAttempt;
        TimePoint lastReportAt;
        /** Latest known end of the lease. */
        TimePoint leaseUntil;
    };

    std::string handleCreditRequest(const PeerMessage &message);
    std::string handleCreditReturn(const PeerMessage &message);
    OwnedUpstream &findOrCreateUpstream(const UpstreamId &upstream);
    void updateLease(const UpstreamId &upstream, OwnedUpstream &owned, TimePoint heldUntil, TimePoint now);
    std::vector<UpstreamId> collectDueLeases(TimePoint now);
    void removeIdleUpstreams(TimePoint now);

    const Clock &clock;
    RandomSource &random;
    ColdStartLease &lease;
    Logger logger;
    Counter &requests;
    Counter &grantedCredits;
    Counter &refusals;
    Counter &takeOvers;
    CreditOwnerOptions options;
    std::mutex mutex;
    std::map<UpstreamId, OwnedUpstream> ownedUpstreams;
};

}
