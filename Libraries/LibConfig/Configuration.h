#pragma once

#include <LibConfig/Entities.h>

#include <optional>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Read access to the configuration that is in force on this node. Safe from several threads; returns copies. */
class Configuration
{
public:
    virtual ~Configuration() = default;

    /** Offset of the newest applied record of the `config` stream. Never decreases. */
    virtual Offset appliedOffset() const = 0;

    /** Team whose key hashes contain the hash of the bearer key. */
    virtual std::optional<Team> teamByKey(std::string_view bearerKey) const = 0;
    virtual std::optional<Team> team(const TeamId &id) const = 0;
    virtual std::optional<WorkClass> workClass(const WorkClassId &id) const = 0;
    virtual std::vector<WorkClass> workClasses() const = 0;
    virtual std::vector<Model> models() const = 0;
    virtual std::optional<Pool> pool(const PoolId &id) const = 0;
    virtual std::vector<Pool> pools() const = 0;
    virtual bool isDrained(const FailureDomainId &failureDomain) const = 0;
};

}
