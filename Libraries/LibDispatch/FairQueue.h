#pragma once

#include <LibDispatch/QueueEntry.h>

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lovageward {

/**
 * Queues waiting requests per resource, with a limit per flow, which is a pair of work class and team. Deficit round robin over the
 * teams: a team is eligible while its charged tokens per unit of share lie within the current round; among eligible teams the
 * request with the earliest due time is served first. The number of tokens isn't known in advance, so a placed request is charged
 * the average of its flow, and the charge is corrected by the tokens that were produced.
 * Not thread-safe: its owner serialises the calls.
 */
class FairQueue
{
public:
    /** `flowLimit` is the maximum number of requests per flow, `quantum` the tokens per round and unit of share. */
    FairQueue(std::size_t flowLimit, double quantum);

    /** True if the entry's flow has reached its limit. */
    bool isFull(const QueueEntry &entry) const;

    void push(const QueueEntry &entry);

    /** Removes an entry that was cancelled, expired or refused. Unknown tickets are ignored. */
    void remove(TicketId ticket);

    /** Tickets whose deadline is at or before `now`, earliest first. */
    std::vector<TicketId> expiredTickets(TimePoint now) const;

    /** Earliest deadline of all entries. */
    std::optional<TimePoint> nextDeadline() const;

    /** Returns the next entries to serve, in order: a few of each work class and at most `limit` in total. */
    std::vector<QueueEntry> candidates(const ResourceId &resource, std::size_t limit) const;

    /** Removes a placed entry and charges its team the average tokens of the flow. Returns the tokens charged. */
    double serve(TicketId ticket);

    /** Charges a team additional tokens; a negative amount is a refund. */
    void charge(const ResourceId &resource, const TeamId &team, double tokens);

    /** Adds the tokens of a completed request to the averages that later requests are charged. */
    void recordLength(const ResourceId &resource, const TeamId &team, const WorkClassId &workClass, double tokens);

    /**
     * Estimates the number of entries that are served before the given one. Other teams are assumed to get no more than their share,
     * and entries that are due later to wait. The estimate is low, so that a refusal derived from it is justified.
     */
    double estimateEntriesAhead(const QueueEntry &entry) const;

    /** Resources with waiting entries. */
    std::vector<ResourceId> waitingResources() const;
    std::vector<TicketId> ticketsOf(const ResourceId &resource) const;
    std::size_t size() const;
    std::size_t size(const ResourceId &resource) const;

private:
    /** Moving average of the tokens that completed requests produced. */
    struct AverageLength
    {
        double tokens = 1;
        bool hasHistory = false;

        void add(double length);
    };

    struct Flow
    {
        std::list<QueueEntry> entries;
        AverageLength averageLength;
    };

    struct TeamQueue
    {
        double share = 1;
        /** Tokens charged so far per unit of share. */
        double chargedPerShare = 0;
        std::size_t waitingCount = 0;
        std::map<WorkClassId, Flow> flows;
    };

    struct ResourceQueue
    {
        /** Current round of the round robin. Each round allows every team one quantum per unit of share. */
        double currentRound = 0;
        std::size_t waitingCount = 0;
        std::map<TeamId, TeamQueue> teams;
        /** Averages over all teams, for flows without completed requests. */
        std::map<WorkClassId, AverageLength> lengthsByClass;
        /** Teams with waiting entries. The pointers refer to elements of `teams`, whose addresses are stable. */
        std::map<TeamId, TeamQueue *> activeTeams;
    };

    struct Position
    {
        ResourceQueue *lane = nullptr;
        TeamQueue *team = nullptr;
        Flow *flow = nullptr;
        std::list<QueueEntry>::iterator entry;
    };

    double roundOf(const TeamQueue &team, const ResourceQueue &lane) const;
    void activateTeam(ResourceQueue &lane, const TeamId &id, TeamQueue &team) const;
    const ResourceQueue *findResourceQueue(const ResourceId &resource) const;
    void removeEntry(std::unordered_map<TicketId, Position>::iterator found);

    std::size_t flowLimit;
    double quantum;
    std::map<ResourceId, ResourceQueue> resourceQueues;
    std::unordered_map<TicketId, Position> positions;
    std::set<std::pair<TimePoint, TicketId>> deadlines;
};

}
