#include <LibConfig/AuditTrail.h>

namespace Lovageward {

void AuditTrail::add(const ChangeDecision &decision)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->decisions.push_back(decision);
    while (this->decisions.size() > this->capacity) {
        this->decisions.pop_front();
    }
}

std::vector<ChangeDecision> AuditTrail::newest(std::size_t limit, const std::optional<EntityKey> &key) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<ChangeDecision> found;
    for (auto entry = this->decisions.rbegin(); entry != this->decisions.rend() && found.size() < limit; ++entry) {
        if (!key || entry->change.key == *key) {
            found.push_back(*entry);
        }
    }
    return found;
}

std::optional<ChangeDecision> AuditTrail::find(const RecordId &recordId) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::optional<ChangeDecision> found;
    for (const auto &decision : this->decisions) {
        if (decision.change.recordId != recordId) {
            continue;
        }
        if (decision.outcome != ChangeOutcome::Expired) {
            return decision;
        }
        found = decision;
    }
    return found;
}

}
