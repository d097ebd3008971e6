#pragma once

#include <LibConfig/ConfigState.h>

#include <deque>
#include <mutex>
#include <optional>
#include <vector>

namespace Lovageward {

/**
 * The decisions on the newest changes, derived from the `config` stream. Thread-safe; its mutex is a leaf lock.
 * A node that started from a checkpoint knows only what was decided after it.
 */
class AuditTrail
{
public:
    /** Keeps at most `capacity` decisions; the oldest ones are dropped first. */
    explicit AuditTrail(std::size_t capacity) : capacity(capacity)
    {
    }

    void add(const ChangeDecision &decision);

    /** Newest decisions first, at most `limit`, restricted to one entity if a key is given. */
    std::vector<ChangeDecision> newest(std::size_t limit, const std::optional<EntityKey> &key) const;

    /** First decision on the record id. A decision that the copy had expired counts only if there is no other. */
    std::optional<ChangeDecision> find(const RecordId &recordId) const;

private:
    std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<ChangeDecision> decisions;
};

}
