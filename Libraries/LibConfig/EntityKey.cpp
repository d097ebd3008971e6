#include <LibConfig/EntityKey.h>

#include <LibCore/Error.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace Lovageward {

namespace {

constexpr std::size_t maximumIdLength = 64;

struct KindName
{
    EntityKind kind;
    std::string_view name;
};

constexpr auto kindNames = std::to_array<KindName>({
    { EntityKind::Team, "team" },
    { EntityKind::WorkClass, "class" },
    { EntityKind::Model, "model" },
    { EntityKind::Pool, "pool" },
    { EntityKind::Drain, "drain" },
});

bool isAlphanumeric(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
}

bool isIdCharacter(char letter)
{
    return isAlphanumeric(letter) || letter == '.' || letter == '_' || letter == '-';
}

bool isValidId(std::string_view id)
{
    if (id.empty() || id.size() > maximumIdLength || !isAlphanumeric(id.front())) {
        return false;
    }
    return std::all_of(id.begin(), id.end(), isIdCharacter);
}

}

std::string_view entityKindName(EntityKind kind)
{
    for (const auto &entry : kindNames) {
        if (entry.kind == kind) {
            return entry.name;
        }
    }
    return "unknown";
}

std::string toText(const EntityKey &key)
{
    return fmt::format("{}/{}", entityKindName(key.kind), key.id);
}

EntityKey parseEntityKey(std::string_view text)
{
    auto slash = text.find('/');
    auto kindText = text.substr(0, slash);
    auto id = slash == std::string_view::npos ? std::string_view() : text.substr(slash + 1);
    for (const auto &entry : kindNames) {
        if (entry.name == kindText && isValidId(id)) {
            return EntityKey { entry.kind, std::string(id) };
        }
    }
    throw Error(ResultCode::InvalidValue, RunState::NotRun, fmt::format("'{}' is not a valid entity key", text.substr(0, 2 * maximumIdLength)));
}

}
