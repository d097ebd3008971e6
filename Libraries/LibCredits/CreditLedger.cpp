#include <LibCredits/CreditLedger.h>

#include <algorithm>

namespace Lovageward {

namespace {

// An upstream that runs more requests isn't cold in practice; the bound keeps the doubling from overflowing.
constexpr std::uint32_t maximumLimit = 4096;
constexpr std::uint64_t hundredPercent = 100;

}

CreditLedger::CreditLedger(const CreditOptions &options) : options(options)
{
}

void CreditLedger::takeOver(TimePoint now)
{
    this->grantsBlockedUntil = std::max(this->grantsBlockedUntil, now + this->options.lifetime + this->options.reportLag);
}

void CreditLedger::applyReport(const LoadReport &newReport, TimePoint now)
{
    auto isNewer = !this->hasReport || newReport.measuredAt > this->report.measuredAt;
    if (!isNewer) {
        return;
    }
    if (this->hasReport && newReport.measuredAt > this->report.measuredAt + this->options.maximumReportAge) {
        // This node was paused, and another node may have reported the upstream as warm in the meantime.
        this->isCold = false;
    }
    if (newReport.phase == UpstreamPhase::Cold) {
        this->enterColdPhase(now);
        this->updateLimit(newReport);
    } else {
        this->isCold = false;
    }
    this->report = newReport;
    this->hasReport = true;
    this->markReflectedCredits(newReport, now);
}

void CreditLedger::enterColdPhase(TimePoint now)
{
    if (this->isCold) {
        return;
    }
    this->isCold = true;
    // Nodes whose last report shows the upstream as warm send work without credits until that report exceeds its maximum age.
    this->grantsBlockedUntil = std::max(this->grantsBlockedUntil, now + this->options.maximumReportAge + this->options.reportLag);
    this->currentLimit = 0;
}

void CreditLedger::updateLimit(const LoadReport &newReport)
{
    auto isNewStart = this->currentLimit == 0 || newReport.bootId != this->report.bootId || newReport.coldLimit < this->reportedLimit;
    if (isNewStart) {
        this->currentLimit = newReport.coldLimit;
        this->completions = 0;
        ++this->coldStartNumber;
    }
    this->reportedLimit = newReport.coldLimit;
    this->currentLimit = std::max(this->currentLimit, newReport.coldLimit);
    auto isFull = newReport.kvBlocksUsed.value() * hundredPercent > newReport.kvBlocksTotal.value() * this->options.maximumBlockPercentForGrowth;
    // The load report has no count of preemptions; waiting work and nearly full memory precede them.
    this->isGrowthPaused = newReport.waiting > 0 || isFull;
    if (this->isGrowthPaused) {
        this->completions = 0;
    }
}

void CreditLedger::markReflectedCredits(const LoadReport &newReport, TimePoint now)
{
    for (auto &[id, credit] : this->credits) {
        credit.isReflected = credit.isReflected || credit.latestUse + this->options.reportLag <= newReport.measuredAt;
    }
    std::erase_if(this->credits, [now](const auto &item) { return item.second.isReflected && item.second.retainedUntil <= now; });
}

void CreditLedger::markUnreachable(TimePoint now)
{
    this->enterColdPhase(now);
    this->hasReport = false;
    this->currentLimit = 0;
}

void CreditLedger::discardReport()
{
    this->hasReport = false;
    this->isCold = false;
}

std::vector<CreditId> CreditLedger::grant(const HostId &holder, std::uint32_t count, TimePoint now, TimePoint leaseUntil, RandomSource &random)
{
    std::vector<CreditId> granted;
    if (!this->canGrant(now, leaseUntil)) {
        return granted;
    }
    auto expiresAt = now + this->options.lifetime;
    while (granted.size() < count && this->usedSlots() < this->currentLimit && this->unreflectedCredits() < this->reportedLimit) {
        CreditId id(random.next());
        this->credits[id] = { holder, this->coldStartNumber, expiresAt, now + this->options.workRetention, false };
        granted.push_back(id);
    }
    return granted;
}

bool CreditLedger::canGrant(TimePoint now, TimePoint leaseUntil) const
{
    return this->isKnownCold(now) && now + this->options.lifetime <= leaseUntil && this->report.measuredAt >= this->grantsBlockedUntil;
}

void CreditLedger::markStarted(const HostId &holder, const std::vector<CreditId> &ids, TimePoint now)
{
    for (auto id : ids) {
        auto *credit = this->findCredit(holder, id);
        if (credit != nullptr) {
            credit->latestUse = std::min(credit->latestUse, now);
        }
    }
}

void CreditLedger::markEnded(const HostId &holder, const std::vector<CreditId> &ids)
{
    for (auto id : ids) {
        auto *credit = this->findCredit(holder, id);
        if (credit == nullptr) {
            continue;
        }
        if (credit->coldStartNumber == this->coldStartNumber) {
            this->countCompletion();
        }
        this->credits.erase(id);
    }
}

void CreditLedger::countCompletion()
{
    if (this->isGrowthPaused) {
        return;
    }
    ++this->completions;
    if (this->currentLimit > 0 && this->completions >= this->currentLimit) {
        this->completions = 0;
        this->currentLimit = std::min(this->currentLimit * 2, maximumLimit);
    }
}

void CreditLedger::returnUnused(const HostId &holder, const std::vector<CreditId> &ids)
{
    for (auto id : ids) {
        if (this->findCredit(holder, id) != nullptr) {
            this->credits.erase(id);
        }
    }
}

bool CreditLedger::isKnownCold(TimePoint now) const
{
    return this->hasReport && this->isCold && now <= this->report.measuredAt + this->options.maximumReportAge;
}

std::uint64_t CreditLedger::usedSlots() const
{
    return std::uint64_t(this->report.running) + this->report.waiting + this->unreflectedCredits();
}

std::uint64_t CreditLedger::unreflectedCredits() const
{
    auto count = std::count_if(this->credits.begin(), this->credits.end(), [](const auto &item) { return !item.second.isReflected; });
    return static_cast<std::uint64_t>(count);
}

CreditLedger::Credit *CreditLedger::findCredit(const HostId &holder, CreditId id)
{
    auto found = this->credits.find(id);
    auto isHeldByHost = found != this->credits.end() && found->second.holder == holder;
    return isHeldByHost ? &found->second : nullptr;
}

}
