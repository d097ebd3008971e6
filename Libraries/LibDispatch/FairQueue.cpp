#include <LibDispatch/FairQueue.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Lovageward {

namespace {

/** Maximum number of candidates from one flow. More than one is taken only if the entries before it are restricted to some upstreams. */
constexpr std::size_t maximumCandidatesPerFlow = 4;

/** Maximum number of candidates of one work class in a pass. */
constexpr std::size_t maximumCandidatesPerClass = 2;

/** Weight of a new sample in the moving average of the tokens per request. */
constexpr double sampleWeight = 0.1;

struct Candidate
{
    double round = 0;
    const QueueEntry *entry = nullptr;

    bool operator<(const Candidate &other) const
    {
        if (this->round != other.round) {
            return this->round < other.round;
        }
        if (this->entry->dueTime != other.entry->dueTime) {
            return this->entry->dueTime < other.entry->dueTime;
        }
        return this->entry->ticket < other.entry->ticket;
    }
};

/**
 * Collects the first candidates of each work class. Whether an upstream has capacity for a request depends mostly on its class, so a
 * pass tries a few candidates of each class rather than many of one.
 */
class CandidateSelection
{
public:
    explicit CandidateSelection(std::size_t maximumPerClass) : maximumPerClass(maximumPerClass)
    {
    }

    void add(const Candidate &candidate)
    {
        auto &best = this->findOrAddGroup(*candidate.entry);
        auto position = std::upper_bound(best.begin(), best.end(), candidate);
        if (position == best.end() && best.size() == this->maximumPerClass) {
            return;
        }
        best.insert(position, candidate);
        if (best.size() > this->maximumPerClass) {
            best.pop_back();
        }
    }

    /** Returns the first `limit` candidates of all classes, in order. */
    std::vector<QueueEntry> entries(std::size_t limit) const
    {
        std::vector<Candidate> all;
        for (const auto &[group, best] : this->groups) {
            all.insert(all.end(), best.begin(), best.end());
        }
        std::sort(all.begin(), all.end());
        all.resize(std::min(limit, all.size()));
        std::vector<QueueEntry> result;
        std::transform(all.begin(), all.end(), std::back_inserter(result), [](const Candidate &candidate) { return *candidate.entry; });
        return result;
    }

private:
    using Group = std::pair<const WorkClassId *, bool>;

    std::vector<Candidate> &findOrAddGroup(const QueueEntry &entry)
    {
        for (auto &[group, best] : this->groups) {
            if (group.second == entry.isRestricted && *group.first == entry.workClass) {
                return best;
            }
        }
        return this->groups.emplace_back(Group(&entry.workClass, entry.isRestricted), std::vector<Candidate>()).second;
    }

    std::size_t maximumPerClass;
    std::vector<std::pair<Group, std::vector<Candidate>>> groups;
};

void addCandidates(const std::list<QueueEntry> &entries, double round, CandidateSelection &selection)
{
    std::size_t offered = 0;
    for (const auto &entry : entries) {
        selection.add({ .round = round, .entry = &entry });
        ++offered;
        if (!entry.isRestricted || offered == maximumCandidatesPerFlow) {
            return;
        }
    }
}

/** Counts the entries due at or before `dueTime` in a list sorted by due time. In most cases all or none are due, which needs no scan. */
std::size_t countDueUntil(const std::list<QueueEntry> &entries, TimePoint dueTime)
{
    if (entries.empty() || entries.back().dueTime <= dueTime) {
        return entries.size();
    }
    std::size_t count = 0;
    for (auto entry = entries.begin(); entry->dueTime <= dueTime; ++entry) {
        ++count;
    }
    return count;
}

}

FairQueue::FairQueue(std::size_t flowLimit, double quantum) : flowLimit(flowLimit), quantum(quantum)
{
}

bool FairQueue::isFull(const QueueEntry &entry) const
{
    const auto *lane = this->findResourceQueue(entry.resource);
    if (lane == nullptr) {
        return this->flowLimit == 0;
    }
    auto team = lane->teams.find(entry.team);
    if (team == lane->teams.end()) {
        return this->flowLimit == 0;
    }
    auto flow = team->second.flows.find(entry.workClass);
    return flow != team->second.flows.end() && flow->second.entries.size() >= this->flowLimit;
}

void FairQueue::push(const QueueEntry &entry)
{
    auto &lane = this->resourceQueues[entry.resource];
    auto &team = lane.teams[entry.team];
    team.share = std::max<std::uint32_t>(1, entry.share);
    if (team.waitingCount == 0) {
        this->activateTeam(lane, entry.team, team);
    }
    auto &flow = team.flows[entry.workClass];
    auto position = flow.entries.end();
    while (position != flow.entries.begin() && entry.dueTime < std::prev(position)->dueTime) {
        --position;
    }
    auto inserted = flow.entries.insert(position, entry);
    this->positions[entry.ticket] = Position { .lane = &lane, .team = &team, .flow = &flow, .entry = inserted };
    this->deadlines.emplace(entry.deadline, entry.ticket);
    ++team.waitingCount;
    ++lane.waitingCount;
}

void FairQueue::remove(TicketId ticket)
{
    auto found = this->positions.find(ticket);
    if (found != this->positions.end()) {
        this->removeEntry(found);
    }
}

std::vector<TicketId> FairQueue::expiredTickets(TimePoint now) const
{
    std::vector<TicketId> tickets;
    for (const auto &[deadline, ticket] : this->deadlines) {
        if (deadline > now) {
            break;
        }
        tickets.push_back(ticket);
    }
    return tickets;
}

std::optional<TimePoint> FairQueue::nextDeadline() const
{
    if (this->deadlines.empty()) {
        return std::nullopt;
    }
    return this->deadlines.begin()->first;
}

std::vector<QueueEntry> FairQueue::candidates(const ResourceId &resource, std::size_t limit) const
{
    const auto *lane = this->findResourceQueue(resource);
    if (lane == nullptr) {
        return {};
    }
    CandidateSelection selection(maximumCandidatesPerClass);
    for (const auto &[id, team] : lane->activeTeams) {
        auto round = this->roundOf(*team, *lane);
        for (const auto &[workClass, flow] : team->flows) {
            addCandidates(flow.entries, round, selection);
        }
    }
    return selection.entries(limit);
}

double FairQueue::serve(TicketId ticket)
{
    auto found = this->positions.find(ticket);
    if (found == this->positions.end()) {
        return 0;
    }
    auto &lane = *found->second.lane;
    auto &team = *found->second.team;
    const auto &length = found->second.flow->averageLength;
    auto tokens = length.hasHistory ? length.tokens : lane.lengthsByClass[found->second.entry->workClass].tokens;
    lane.currentRound = std::max(lane.currentRound, this->roundOf(team, lane));
    team.chargedPerShare += tokens / team.share;
    this->removeEntry(found);
    return tokens;
}

void FairQueue::charge(const ResourceId &resource, const TeamId &team, double tokens)
{
    auto &queue = this->resourceQueues[resource].teams[team];
    queue.chargedPerShare += tokens / queue.share;
}

void FairQueue::recordLength(const ResourceId &resource, const TeamId &team, const WorkClassId &workClass, double tokens)
{
    // A request without tokens still occupied a slot on the upstream.
    auto length = std::max(1.0, tokens);
    auto &lane = this->resourceQueues[resource];
    lane.lengthsByClass[workClass].add(length);
    lane.teams[team].flows[workClass].averageLength.add(length);
}

double FairQueue::estimateEntriesAhead(const QueueEntry &entry) const
{
    const auto *lane = this->findResourceQueue(entry.resource);
    if (lane == nullptr) {
        return 0;
    }
    auto countDueEntries = [&entry](const TeamQueue &team) {
        std::size_t count = 0;
        for (const auto &[workClass, flow] : team.flows) {
            count += countDueUntil(flow.entries, entry.dueTime);
        }
        return static_cast<double>(count);
    };
    auto own = lane->activeTeams.find(entry.team);
    auto ownAhead = own == lane->activeTeams.end() ? 0.0 : countDueEntries(*own->second);
    auto total = ownAhead;
    for (const auto &[id, team] : lane->activeTeams) {
        if (id != entry.team) {
            auto fairShare = (ownAhead + 1) * team->share / std::max<std::uint32_t>(1, entry.share);
            total += std::min(countDueEntries(*team), fairShare);
        }
    }
    return total;
}

std::vector<ResourceId> FairQueue::waitingResources() const
{
    std::vector<ResourceId> resources;
    for (const auto &[resource, lane] : this->resourceQueues) {
        if (lane.waitingCount > 0) {
            resources.push_back(resource);
        }
    }
    return resources;
}

std::vector<TicketId> FairQueue::ticketsOf(const ResourceId &resource) const
{
    std::vector<TicketId> tickets;
    const auto *lane = this->findResourceQueue(resource);
    if (lane == nullptr) {
        return tickets;
    }
    for (const auto &[id, team] : lane->activeTeams) {
        for (const auto &[workClass, flow] : team->flows) {
            for (const auto &entry : flow.entries) {
                tickets.push_back(entry.ticket);
            }
        }
    }
    return tickets;
}

std::size_t FairQueue::size() const
{
    return this->positions.size();
}

std::size_t FairQueue::size(const ResourceId &resource) const
{
    const auto *lane = this->findResourceQueue(resource);
    return lane == nullptr ? 0 : lane->waitingCount;
}

void FairQueue::AverageLength::add(double length)
{
    this->tokens = this->hasHistory ? this->tokens + sampleWeight * (length - this->tokens) : length;
    this->hasHistory = true;
}

double FairQueue::roundOf(const TeamQueue &team, const ResourceQueue &lane) const
{
    return std::max(lane.currentRound, std::floor(team.chargedPerShare / this->quantum));
}

void FairQueue::activateTeam(ResourceQueue &lane, const TeamId &id, TeamQueue &team) const
{
    // A team without waiting requests earns no credit for past rounds, but a debt from earlier requests remains.
    team.chargedPerShare = std::max(team.chargedPerShare, lane.currentRound * this->quantum);
    lane.activeTeams[id] = &team;
}

const FairQueue::ResourceQueue *FairQueue::findResourceQueue(const ResourceId &resource) const
{
    auto found = this->resourceQueues.find(resource);
    return found == this->resourceQueues.end() ? nullptr : &found->second;
}

void FairQueue::removeEntry(std::unordered_map<TicketId, Position>::iterator found)
{
    auto position = found->second;
    auto team = position.entry->team;
    this->deadlines.erase({ position.entry->deadline, position.entry->ticket });
    position.flow->entries.erase(position.entry);
    this->positions.erase(found);
    --position.lane->waitingCount;
    --position.team->waitingCount;
    if (position.team->waitingCount == 0) {
        position.lane->activeTeams.erase(team);
    }
}

}
