#include <LibDispatch/FairQueue.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Lovageward {

namespace {

/** Entries of one flow that are offered when those before them are restricted to some upstreams. */
constexpr std::size_t maximumPerFlow = 4;

/** Candidates of one work class in a pass. */
constexpr std::size_t candidatesPerClass = 2;

/** Weight of a new length in the moving average of a flow. */
constexpr double lengthWeight = 0.1;

struct Candidate
{
    double round = 0;
    const QueueEntry *entry = nullptr;

    bool operator<(const Candidate &other) const
    {
        if (this->round != other.round) {
            return this->round < other.round;
        }
        if (this->entry->due != other.entry->due) {
            return this->entry->due < other.entry->due;
        }
        return this->entry->ticket < other.entry->ticket;
    }
};

/**
 * The best candidates of each work class. Whether there is room depends mostly on the class, so a pass tries a few of each class
 * rather than many of one.
 */
class Selection
{
public:
    explicit Selection(std::size_t perClass) : perClass(perClass)
    {
    }

    void add(const Candidate &candidate)
    {
        auto &best = this->bestOf(*candidate.entry);
        auto place = std::upper_bound(best.begin(), best.end(), candidate);
        if (place == best.end() && best.size() == this->perClass) {
            return;
        }
        best.insert(place, candidate);
        if (best.size() > this->perClass) {
            best.pop_back();
        }
    }

    /** All of them in order, at most `limit`. */
    std::vector<QueueEntry> entries(std::size_t limit) const
    {
        std::vector<Candidate> all;
        for (const auto &[kind, best] : this->kinds) {
            all.insert(all.end(), best.begin(), best.end());
        }
        std::sort(all.begin(), all.end());
        all.resize(std::min(limit, all.size()));
        std::vector<QueueEntry> result;
        std::transform(all.begin(), all.end(), std::back_inserter(result), [](const Candidate &candidate) { return *candidate.entry; });
        return result;
    }

private:
    using Kind = std::pair<const WorkClassId *, bool>;

    std::vector<Candidate> &bestOf(const QueueEntry &entry)
    {
        for (auto &[kind, best] : this->kinds) {
            if (kind.second == entry.isRestricted && *kind.first == entry.workClass) {
                return best;
            }
        }
        return this->kinds.emplace_back(Kind(&entry.workClass, entry.isRestricted), std::vector<Candidate>()).second;
    }

    std::size_t perClass;
    std::vector<std::pair<Kind, std::vector<Candidate>>> kinds;
};

void addCandidates(const std::list<QueueEntry> &entries, double round, Selection &selection)
{
    std::size_t offered = 0;
    for (const auto &entry : entries) {
        selection.add({ .round = round, .entry = &entry });
        ++offered;
        if (!entry.isRestricted || offered == maximumPerFlow) {
            return;
        }
    }
}

/** Entries that are due no later than `due`; the list is sorted. Mostly all or none of them are, which needs no scan. */
std::size_t dueUntil(const std::list<QueueEntry> &entries, TimePoint due)
{
    if (entries.empty() || entries.back().due <= due) {
        return entries.size();
    }
    std::size_t count = 0;
    for (auto entry = entries.begin(); entry->due <= due; ++entry) {
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
    const auto *lane = this->laneOf(entry.resource);
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
    auto &lane = this->lanes[entry.resource];
    auto &team = lane.teams[entry.team];
    team.share = std::max<std::uint32_t>(1, entry.share);
    if (team.waiting == 0) {
        this->activate(lane, entry.team, team);
    }
    auto &flow = team.flows[entry.workClass];
    auto place = flow.entries.end();
    while (place != flow.entries.begin() && entry.due < std::prev(place)->due) {
        --place;
    }
    auto inserted = flow.entries.insert(place, entry);
    this->positions[entry.ticket] = Position { .lane = &lane, .team = &team, .flow = &flow, .entry = inserted };
    this->deadlines.emplace(entry.deadline, entry.ticket);
    ++team.waiting;
    ++lane.waiting;
}

void FairQueue::remove(TicketId ticket)
{
    auto found = this->positions.find(ticket);
    if (found != this->positions.end()) {
        this->unlink(found);
    }
}

std::vector<TicketId> FairQueue::expired(TimePoint now) const
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
    const auto *lane = this->laneOf(resource);
    if (lane == nullptr) {
        return {};
    }
    Selection selection(candidatesPerClass);
    for (const auto &[id, team] : lane->active) {
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
    const auto &length = found->second.flow->length;
    auto tokens = length.hasHistory ? length.tokens : lane.lengths[found->second.entry->workClass].tokens;
    lane.round = std::max(lane.round, this->roundOf(team, lane));
    team.service += tokens / team.share;
    this->unlink(found);
    return tokens;
}

void FairQueue::charge(const ResourceId &resource, const TeamId &team, double tokens)
{
    auto &queue = this->lanes[resource].teams[team];
    queue.service += tokens / queue.share;
}

void FairQueue::recordLength(const ResourceId &resource, const TeamId &team, const WorkClassId &workClass, double tokens)
{
    // A request that produced nothing still used its place on the upstream.
    auto length = std::max(1.0, tokens);
    auto &lane = this->lanes[resource];
    lane.lengths[workClass].add(length);
    lane.teams[team].flows[workClass].length.add(length);
}

double FairQueue::ahead(const QueueEntry &entry) const
{
    const auto *lane = this->laneOf(entry.resource);
    if (lane == nullptr) {
        return 0;
    }
    auto countUntil = [&entry](const TeamQueue &team) {
        std::size_t count = 0;
        for (const auto &[workClass, flow] : team.flows) {
            count += dueUntil(flow.entries, entry.due);
        }
        return static_cast<double>(count);
    };
    auto own = lane->active.find(entry.team);
    auto ownAhead = own == lane->active.end() ? 0.0 : countUntil(*own->second);
    auto total = ownAhead;
    for (const auto &[id, team] : lane->active) {
        if (id != entry.team) {
            auto fairShare = (ownAhead + 1) * team->share / std::max<std::uint32_t>(1, entry.share);
            total += std::min(countUntil(*team), fairShare);
        }
    }
    return total;
}

std::vector<ResourceId> FairQueue::waitingResources() const
{
    std::vector<ResourceId> resources;
    for (const auto &[resource, lane] : this->lanes) {
        if (lane.waiting > 0) {
            resources.push_back(resource);
        }
    }
    return resources;
}

std::vector<TicketId> FairQueue::ticketsOf(const ResourceId &resource) const
{
    std::vector<TicketId> tickets;
    const auto *lane = this->laneOf(resource);
    if (lane == nullptr) {
        return tickets;
    }
    for (const auto &[id, team] : lane->active) {
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
    const auto *lane = this->laneOf(resource);
    return lane == nullptr ? 0 : lane->waiting;
}

void FairQueue::UsualLength::add(double length)
{
    this->tokens = this->hasHistory ? this->tokens + lengthWeight * (length - this->tokens) : length;
    this->hasHistory = true;
}

double FairQueue::roundOf(const TeamQueue &team, const Lane &lane) const
{
    return std::max(lane.round, std::floor(team.service / this->quantum));
}

void FairQueue::activate(Lane &lane, const TeamId &id, TeamQueue &team) const
{
    // A team that had nothing waiting gains no claim on the rounds that passed; a debt from its last work stays.
    team.service = std::max(team.service, lane.round * this->quantum);
    lane.active[id] = &team;
}

const FairQueue::Lane *FairQueue::laneOf(const ResourceId &resource) const
{
    auto found = this->lanes.find(resource);
    return found == this->lanes.end() ? nullptr : &found->second;
}

void FairQueue::unlink(std::unordered_map<TicketId, Position>::iterator found)
{
    auto position = found->second;
    auto team = position.entry->team;
    this->deadlines.erase({ position.entry->deadline, position.entry->ticket });
    position.flow->entries.erase(position.entry);
    this->positions.erase(found);
    --position.lane->waiting;
    --position.team->waiting;
    if (position.team->waiting == 0) {
        position.lane->active.erase(team);
    }
}

}
