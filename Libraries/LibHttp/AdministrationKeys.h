#pragma once

#include <LibCore/Ids.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** What the holder of an administration key may do. */
enum class AdministrationRole {
    /** Everything. */
    Operator,
    /** Reads shared entities and the own team, and rotates the own team's keys. */
    TeamOwner,
    /** Reads everything. */
    ReadOnly,
};

/** Who makes a request to the administration API. */
struct AdministrationIdentity
{
    AdministrationRole role = AdministrationRole::ReadOnly;
    /** Only for a team owner. */
    TeamId team;
    /** Role and the first digits of the key's hash, for the audit trail. */
    std::string actor;
};

/** The keys of the administration API. Immutable, so safe from several threads. */
class AdministrationKeys
{
public:
    /**
     * Each setting is `operator:<sha256>`, `read-only:<sha256>` or `team-owner/<team>:<sha256>` with the lower-case
     * hexadecimal SHA-256 of the key. Throws Error(InvalidSettings).
     */
    explicit AdministrationKeys(const std::vector<std::string> &settings);

    /** Absent if the key is not known. */
    std::optional<AdministrationIdentity> identify(std::string_view bearerKey) const;

private:
    struct Entry
    {
        std::string keyHash;
        AdministrationIdentity identity;
    };

    static Entry parse(const std::string &setting);

    std::vector<Entry> entries;
};

}
