#include <LibHttp/AdministrationKeys.h>

#include <LibConfig/EntityCodec.h>
#include <LibCore/Error.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr std::string_view teamOwnerPrefix = "team-owner/";
constexpr std::size_t shownHashDigits = 8;

[[noreturn]] void rejectSetting(std::string_view role)
{
    throw Error(ResultCode::InvalidSettings,
                RunState::NotRun,
                fmt::format("administration key for '{}' is not 'operator', 'read-only' or 'team-owner/<team>' with ':<sha256>'", role));
}

}

AdministrationKeys::AdministrationKeys(const std::vector<std::string> &settings)
{
    for (const auto &setting : settings) {
        this->entries.push_back(parse(setting));
    }
}

AdministrationKeys::Entry AdministrationKeys::parse(const std::string &setting)
{
    auto colon = setting.find(':');
    auto role = setting.substr(0, colon);
    auto keyHash = colon == std::string::npos ? std::string() : setting.substr(colon + 1);
    if (!isKeyHash(keyHash)) {
        rejectSetting(role);
    }
    Entry entry { keyHash, {} };
    entry.identity.actor = fmt::format("{}#{}", role, keyHash.substr(0, shownHashDigits));
    if (role == "operator") {
        entry.identity.role = AdministrationRole::Operator;
    } else if (role == "read-only") {
        entry.identity.role = AdministrationRole::ReadOnly;
    } else if (role.starts_with(teamOwnerPrefix) && role.size() > teamOwnerPrefix.size()) {
        entry.identity.role = AdministrationRole::TeamOwner;
        entry.identity.team = TeamId(role.substr(teamOwnerPrefix.size()));
    } else {
        rejectSetting(role);
    }
    return entry;
}

std::optional<AdministrationIdentity> AdministrationKeys::identify(std::string_view bearerKey) const
{
    if (bearerKey.empty()) {
        return std::nullopt;
    }
    // Comparing hashes leaks nothing usable about the key through the time that the comparison takes.
    auto keyHash = hashOfKey(bearerKey);
    for (const auto &entry : this->entries) {
        if (entry.keyHash == keyHash) {
            return entry.identity;
        }
    }
    return std::nullopt;
}

}
