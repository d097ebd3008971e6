#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCredits/CreditMessages.h>
#include <LibCredits/UpstreamOwnership.h>
#include <LibMembership/ParallelRunner.h>
#include <LibMembership/PeriodicTask.h>
#include <LibPeer/PeerTransport.h>
#include <LibPolicy/CreditSource.h>
#include <LibPolicy/UpstreamTable.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace Lovageward {

struct CreditClientOptions
{
    /** Time between steps while the client has demand, credits or usage reports. Bounds the time for which ended work still occupies a slot at the owner. */
    Duration period = milliseconds(250);
    /** Time that an owner has to answer a message. */
    Duration requestTimeout = milliseconds(500);
    /** Maximum number of credits in one request. A small number leaves credits for other nodes. */
    std::uint32_t maximumCreditsPerRequest = 4;
    /** Time before its expiry at which an unused credit is returned, so that another node can use the slot. */
    Duration returnBeforeExpiry = milliseconds(500);
    /** Time after its last update for which a usage report is retried if the owner doesn't answer. */
    Duration reportRetention = seconds(10);
};

/**
 * Requests, holds and returns the credits of this node. tryAcquire() and release() only access memory; step(), run by a
 * TaskThread, exchanges messages with the owners. The lifetime of a credit counts from the time at which its request was
 * sent, by this node's clock, so a credit never expires later here than at the owner. Unused credits are returned when the
 * upstream reports a new boot id.
 * Thread-safe. Lock order: the table's mutex is never taken while this class's mutex is held.
 */
class CreditClient final : public CreditSource, public PeriodicTask
{
public:
    /** `wake` makes the thread that runs step() call it at once; may be empty. */
    CreditClient(const Clock &clock,
                 PeerTransport &transport,
                 ParallelRunner &runner,
                 const UpstreamTable &table,
                 const UpstreamOwnership &ownership,
                 HostId self,
                 LogSink &sink,
                 Counters &counters,
                 std::function<void()> wake,
                 const CreditClientOptions &options = {});

    bool tryAcquire(const UpstreamId &upstream) override;
    void release(const UpstreamId &upstream) override;
    TimePoint step() override;

private:
    struct HeldCredit
    {
        CreditId id;
        TimePoint expiresAt;
        Member owner;
    };

    /** Started, ended and unused credits that are still to be reported to their owner. */
    struct UsageReport
    {
        Member owner;
        CreditReturnMessage message;
        TimePoint dropAt;
    };

    struct UpstreamCredits
    {
        /** Unused credits, oldest first. */
        std::deque<HeldCredit> held;
        /** Credits of running work, oldest first. */
        std::deque<HeldCredit> inUse;
        /** Credits that were missed since the last request, up to `maximumCreditsPerRequest`. */
        std::uint32_t demand = 0;
        bool hasRequestInFlight = false;
        TimePoint nextRequestAt;
        BootId bootId;
        std::map<HostId, UsageReport> usageReports;
    };

    /** A message to an owner: a credit request, or a usage report if `requestedCredits` is 0. */
    struct OwnerCall
    {
        UpstreamId upstream;
        Member owner;
        std::uint32_t requestedCredits = 0;
        CreditReturnMessage report;
    };

    void returnCreditsOfRestartedUpstreams();
    std::vector<OwnerCall> collectDueCalls(TimePoint now);
    void addCreditRequests(std::vector<OwnerCall> &calls, const OwnershipView &view, TimePoint now);
    void addUsageReports(std::vector<OwnerCall> &calls, TimePoint now);
    void returnExpiringCredits(UpstreamCredits &credits, TimePoint now);
    void performCall(const OwnerCall &call);
    void requestCredits(const OwnerCall &call);
    void sendUsageReport(const OwnerCall &call);
    void finishRequest(const UpstreamId &upstream, TimePoint nextRequestAt);
    UsageReport &usageReportFor(UpstreamCredits &credits, const HeldCredit &credit, TimePoint now);
    static void removeSentCredits(CreditReturnMessage &pending, const CreditReturnMessage &sent);

    const Clock &clock;
    PeerTransport &transport;
    ParallelRunner &runner;
    const UpstreamTable &table;
    const UpstreamOwnership &ownership;
    HostId self;
    Logger logger;
    Counter &acquiredCredits;
    Counter &missedCredits;
    Counter &failedMessages;
    std::function<void()> wake;
    CreditClientOptions options;
    std::mutex mutex;
    std::map<UpstreamId, UpstreamCredits> creditsByUpstream;
};

}
