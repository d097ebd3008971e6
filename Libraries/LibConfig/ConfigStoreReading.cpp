// The reading half of ConfigStore, which implements Configuration.
#include <LibConfig/ConfigStore.h>

namespace Lovageward {

template<typename Value>
std::optional<Value> ConfigStore::valueOf(const EntityKey &key) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    const auto *found = this->state.find(key);
    if (found == nullptr || !found->entity) {
        return std::nullopt;
    }
    return std::get<Value>(*found->entity);
}

template<typename Value>
std::vector<Value> ConfigStore::valuesOf(EntityKind kind) const
{
    std::vector<Value> values;
    for (const auto &[key, value] : this->entities(kind)) {
        values.push_back(std::get<Value>(*value.entity));
    }
    return values;
}

Offset ConfigStore::appliedOffset() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->state.appliedOffset();
}

std::optional<Team> ConfigStore::teamByKey(std::string_view bearerKey) const
{
    auto keyHash = hashOfKey(bearerKey);
    std::lock_guard<std::mutex> guard(this->mutex);
    auto id = this->state.teamOfKeyHash(keyHash);
    if (!id) {
        return std::nullopt;
    }
    return std::get<Team>(*this->state.find(EntityKey { EntityKind::Team, id->value() })->entity);
}

std::optional<Team> ConfigStore::team(const TeamId &id) const
{
    return this->valueOf<Team>(EntityKey { EntityKind::Team, id.value() });
}

std::optional<WorkClass> ConfigStore::workClass(const WorkClassId &id) const
{
    return this->valueOf<WorkClass>(EntityKey { EntityKind::WorkClass, id.value() });
}

std::vector<WorkClass> ConfigStore::workClasses() const
{
    return this->valuesOf<WorkClass>(EntityKind::WorkClass);
}

std::vector<Model> ConfigStore::models() const
{
    return this->valuesOf<Model>(EntityKind::Model);
}

std::optional<Pool> ConfigStore::pool(const PoolId &id) const
{
    return this->valueOf<Pool>(EntityKey { EntityKind::Pool, id.value() });
}

std::vector<Pool> ConfigStore::pools() const
{
    return this->valuesOf<Pool>(EntityKind::Pool);
}

bool ConfigStore::isDrained(const FailureDomainId &failureDomain) const
{
    return this->valueOf<Drain>(EntityKey { EntityKind::Drain, failureDomain.value() }).has_value();
}

std::vector<Team> ConfigStore::teams() const
{
    return this->valuesOf<Team>(EntityKind::Team);
}

std::set<FailureDomainId> ConfigStore::drainedDomains() const
{
    std::set<FailureDomainId> drained;
    for (const auto &drain : this->valuesOf<Drain>(EntityKind::Drain)) {
        drained.insert(drain.failureDomain);
    }
    return drained;
}

std::optional<VersionedEntity> ConfigStore::entity(const EntityKey &key) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    const auto *found = this->state.find(key);
    return found == nullptr ? std::nullopt : std::optional<VersionedEntity>(*found);
}

std::vector<std::pair<EntityKey, VersionedEntity>> ConfigStore::entities(EntityKind kind) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::pair<EntityKey, VersionedEntity>> found;
    for (const auto &[key, value] : this->state.all()) {
        if (key.kind == kind && value.entity) {
            found.emplace_back(key, value);
        }
    }
    return found;
}

}
