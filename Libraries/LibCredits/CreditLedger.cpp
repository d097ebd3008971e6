#include <LibCredits/CreditLedger.h>

#include <algorithm>

namespace Lovageward {

namespace {

// Above this an engine is not what is meant by cold; the bound keeps the doubling from overflowing.
constexpr std::uint32_t greatestLimit = 4096;
constexpr std::uint64_t percent = 100;

}

CreditLedger::CreditLedger(const CreditOptions &options) : options(options)
{
}

void CreditLedger::takeOver(TimePoint now)
{
    this->blockedUntil = std::max(this->blockedUntil, now + this->options.lifetime + this->options.reportLag);
}

void CreditLedger::applyReport(const LoadReport &newReport, TimePoint now)
{
    auto isCovering = !this->hasReport || newReport.measuredAt > this->report.measuredAt;
    if (!isCovering) {
        return;
    }
    if (this->hasReport && newReport.measuredAt > this->report.measuredAt + this->options.maximumReportAge) {
        // This node was paused. Meanwhile another one may have reported the upstream as warm.
        this->isCold = false;
    }
    if (newReport.phase == UpstreamPhase::Cold) {
        this->noteCold(now);
        this->updateLimit(newReport);
    } else {
        this->isCold = false;
    }
    this->report = newReport;
    this->hasReport = true;
    this->coverCredits(newReport, now);
}

void CreditLedger::noteCold(TimePoint now)
{
    if (this->isCold) {
        return;
    }
    this->isCold = true;
    // Nodes that still take the upstream for warm send work without credits until their report is too old.
    this->blockedUntil = std::max(this->blockedUntil, now + this->options.maximumReportAge + this->options.reportLag);
    this->currentLimit = 0;
}

void CreditLedger::updateLimit(const LoadReport &newReport)
{
    auto isNewStart = this->currentLimit == 0 || newReport.bootId != this->report.bootId || newReport.coldLimit < this->reportedLimit;
    if (isNewStart) {
        this->currentLimit = newReport.coldLimit;
        this->completions = 0;
        ++this->coldStart;
    }
    this->reportedLimit = newReport.coldLimit;
    this->currentLimit = std::max(this->currentLimit, newReport.coldLimit);
    auto isFull = newReport.kvBlocksUsed.value() * percent > newReport.kvBlocksTotal.value() * this->options.growthBlockPercent;
    // The report has no count of preemptions; waiting work or nearly full memory announces them.
    this->isStrained = newReport.waiting > 0 || isFull;
    if (this->isStrained) {
        this->completions = 0;
    }
}

void CreditLedger::coverCredits(const LoadReport &newReport, TimePoint now)
{
    for (auto &[id, credit] : this->credits) {
        credit.isCovered = credit.isCovered || credit.lastUse + this->options.reportLag <= newReport.measuredAt;
    }
    std::erase_if(this->credits, [now](const auto &item) { return item.second.isCovered && item.second.forgetAt <= now; });
}

void CreditLedger::markUnreachable(TimePoint now)
{
    this->noteCold(now);
    this->hasReport = false;
    this->currentLimit = 0;
}

void CreditLedger::abandon()
{
    this->hasReport = false;
    this->isCold = false;
}

std::vector<CreditId> CreditLedger::grant(const HostId &holder, std::uint32_t count, TimePoint now, TimePoint leaseUntil, RandomSource &random)
{
    std::vector<CreditId> granted;
    if (!this->mayGrant(now, leaseUntil)) {
        return granted;
    }
    auto expiresAt = now + this->options.lifetime;
    while (granted.size() < count && this->used() < this->currentLimit && this->uncovered() < this->reportedLimit) {
        CreditId id(random.next());
        this->credits[id] = { holder, this->coldStart, expiresAt, now + this->options.workRetention, false };
        granted.push_back(id);
    }
    return granted;
}

bool CreditLedger::mayGrant(TimePoint now, TimePoint leaseUntil) const
{
    return this->isKnownCold(now) && now + this->options.lifetime <= leaseUntil && this->report.measuredAt >= this->blockedUntil;
}

void CreditLedger::started(const HostId &holder, const std::vector<CreditId> &ids, TimePoint now)
{
    for (auto id : ids) {
        auto *credit = this->find(holder, id);
        if (credit != nullptr) {
            credit->lastUse = std::min(credit->lastUse, now);
        }
    }
}

void CreditLedger::ended(const HostId &holder, const std::vector<CreditId> &ids)
{
    for (auto id : ids) {
        auto *credit = this->find(holder, id);
        if (credit == nullptr) {
            continue;
        }
        if (credit->coldStart == this->coldStart) {
            this->countCompletion();
        }
        this->credits.erase(id);
    }
}

void CreditLedger::countCompletion()
{
    if (this->isStrained) {
        return;
    }
    ++this->completions;
    if (this->currentLimit > 0 && this->completions >= this->currentLimit) {
        this->completions = 0;
        this->currentLimit = std::min(this->currentLimit * 2, greatestLimit);
    }
}

void CreditLedger::returned(const HostId &holder, const std::vector<CreditId> &ids)
{
    for (auto id : ids) {
        if (this->find(holder, id) != nullptr) {
            this->credits.erase(id);
        }
    }
}

bool CreditLedger::isKnownCold(TimePoint now) const
{
    return this->hasReport && this->isCold && now <= this->report.measuredAt + this->options.maximumReportAge;
}

std::uint64_t CreditLedger::used() const
{
    return std::uint64_t(this->report.running) + this->report.waiting + this->uncovered();
}

std::uint64_t CreditLedger::uncovered() const
{
    auto count = std::count_if(this->credits.begin(), this->credits.end(), [](const auto &item) { return !item.second.isCovered; });
    return static_cast<std::uint64_t>(count);
}

CreditLedger::Credit *CreditLedger::find(const HostId &holder, CreditId id)
{
    auto found = this->credits.find(id);
    auto isTheirs = found != this->credits.end() && found->second.holder == holder;
    return isTheirs ? &found->second : nullptr;
}

}
