#include <policy/Run.h>

#include <algorithm>

namespace Lovageward::Bench {

namespace {

/** Time after the domain's return over which goodput is measured. */
constexpr Micros recoveryWindow = 100 * oneSecond;

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

}

bool Run::hasMetTarget(const Request &request) const
{
    const auto &profile = this->deployment.classes[request.arrival.workClass];
    if (request.state != Request::State::Done) {
        return false;
    }
    switch (profile.target) {
    case TargetKind::Completion:
        return request.endedAt - request.arrival.at <= profile.targetTime;
    case TargetKind::FirstToken:
        return request.firstTokenAt - request.arrival.at <= profile.targetTime;
    case TargetKind::TokenGap:
        return request.longestGap <= profile.targetTime;
    }
    return false;
}

double Run::completedInTimePerSecond(Micros from, Micros to) const
{
    auto good = std::ranges::count_if(this->requests, [&](const Request &request) {
        auto isOfPool = this->deployment.classes[request.arrival.workClass].pool == this->deployment.enginePool;
        return isOfPool && request.endedAt >= from && request.endedAt < to && this->hasMetTarget(request);
    });
    return static_cast<double>(good) * oneSecond / static_cast<double>(to - from);
}

double Run::fairness() const
{
    std::vector<double> arrived(this->deployment.teamShares.size());
    std::vector<double> good(this->deployment.teamShares.size());
    for (const auto &request : this->requests) {
        auto isOfPool = this->deployment.classes[request.arrival.workClass].pool == this->deployment.enginePool;
        if (isOfPool && request.arrival.at >= this->timetable.measureFrom && request.arrival.at < this->timetable.measureTo) {
            ++arrived[request.arrival.team];
            good[request.arrival.team] += this->hasMetTarget(request) ? 1 : 0;
        }
    }
    double sum = 0;
    double squares = 0;
    for (std::size_t team = 0; team < arrived.size(); ++team) {
        auto value = ratio(good[team], arrived[team]);
        sum += value;
        squares += value * value;
    }
    return ratio(sum * sum, squares * static_cast<double>(arrived.size()));
}

Measures Run::evaluate() const
{
    Measures result;
    double generations = 0;
    double good = 0;
    double refused = 0;
    double services = 0;
    double goodServices = 0;
    GapHistogram firstTokens;
    for (const auto &request : this->requests) {
        if (request.arrival.at < this->timetable.measureFrom || request.arrival.at >= this->timetable.measureTo) {
            continue;
        }
        if (this->deployment.classes[request.arrival.workClass].pool != this->deployment.enginePool) {
            ++services;
            goodServices += this->hasMetTarget(request) ? 1 : 0;
            continue;
        }
        ++generations;
        good += this->hasMetTarget(request) ? 1 : 0;
        refused += request.state == Request::State::Refused ? 1 : 0;
        if (request.firstTokenAt > 0) {
            firstTokens.add(request.firstTokenAt - request.arrival.at);
        }
    }
    GapHistogram gaps;
    double preemptions = 0;
    for (const auto &simulated : this->engines) {
        gaps.add(simulated.engine->gaps());
        preemptions += static_cast<double>(simulated.engine->preemptions());
    }
    auto served = generations - refused;
    result.stallSeconds = ratio(static_cast<double>(this->stallTime) / oneSecond * 1000, served);
    result.preemptions = ratio(preemptions * 1000, served);
    result.gapP95 = gaps.quantile(0.95);
    result.gapP99 = gaps.quantile(0.99);
    result.gapP999 = gaps.quantile(0.999);
    result.firstTokenP95 = firstTokens.quantile(0.95);
    result.goodput = ratio(good, generations);
    result.refusals = ratio(refused, generations);
    result.fairness = this->fairness();
    result.serviceGoodput = ratio(goodServices, services);
    result.goodWhileOut = this->completedInTimePerSecond(this->timetable.disturbAt, this->timetable.restoreAt);
    result.goodOnReturn = this->completedInTimePerSecond(this->timetable.restoreAt, this->timetable.restoreAt + recoveryWindow);
    result.memoryUsed = ratio(this->blocksUsed, this->blocksTotal);
    result.blastRadius = this->blastRadius;
    return result;
}

}
