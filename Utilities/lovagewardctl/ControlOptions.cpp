#include <lovagewardctl/ControlOptions.h>

#include <LibCore/Error.h>
#include <lovagewardctl/EntityFields.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <set>

namespace Lovageward {

namespace {

constexpr const char *commandHelp = R"(Commands:
  team list | set <id> | remove <id> | rotate-key <id> [--revoke-others]
  class list | set <id> | remove <id>
  model list | set <id> | remove <id>
  pool list | set <id> | remove <id>
  drain list | add <failure domain> [--reason text] | remove <failure domain>
  order list | order <pool> <LoadModel|LoadAdapter|LoadVersion|ChangeRole> <model>
  status
  audit [--entity kind/id] [--limit n]
  wait <record id>

set changes the fields whose flags are given and keeps the others.

Exit codes: 0 done; otherwise the hundreds of the result code: 1 wrong request, 2 refused for now or not in force
in time, 5 log unavailable or outcome unknown, 6 conflict or invalid value, 7 node unreachable, 9 internal.
)";

cxxopts::Options describeOptions()
{
    cxxopts::Options options("lovagewardctl", "Administration of lovageward");
    options.custom_help("[flags] <command>").positional_help("");
    auto add = options.add_options();
    add("admin", "host:port of a node's administration API (LOVAGEWARD_ADMIN)", cxxopts::value<std::string>());
    add("key", "administration key; prefer the variable, since flags are visible to other users (LOVAGEWARD_KEY)", cxxopts::value<std::string>());
    add("json", "print the API's JSON");
    add("wait", "after a change, wait until it is in force everywhere");
    add("timeout", "longest wait in seconds", cxxopts::value<unsigned>());
    add("based-on", "version that a change is based on, instead of the current one", cxxopts::value<std::string>());
    add("revoke-others", "with rotate-key: end all earlier keys at once");
    add("entity", "with audit: only this entity, for example team/atelier", cxxopts::value<std::string>());
    add("limit", "with audit: number of lines", cxxopts::value<std::string>());
    add("h,help", "show this help");
    add("version", "show the version");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    std::set<std::string> known;
    for (const auto &command : entityCommands()) {
        for (const auto &field : command.fields) {
            if (known.insert(field.flag).second) {
                add(field.flag, fmt::format("{}: {}", command.name, field.help), cxxopts::value<std::string>());
            }
        }
    }
    options.parse_positional({ "words" });
    return options;
}

std::string flagOrVariable(const cxxopts::ParseResult &result, const std::string &flag, const std::string &variable)
{
    return result.count(flag) > 0 ? result[flag].as<std::string>() : variable;
}

void takeValues(ControlOptions &options, const cxxopts::ParseResult &result)
{
    static const std::set<std::string> ownMembers = { "admin", "key", "json", "wait", "timeout", "help", "version", "words" };
    for (const auto &argument : result.arguments()) {
        if (!ownMembers.contains(argument.key())) {
            options.values[argument.key()] = argument.value();
        }
    }
}

}

std::optional<std::string> ControlOptions::value(const std::string &flag) const
{
    auto found = this->values.find(flag);
    return found == this->values.end() ? std::nullopt : std::optional<std::string>(found->second);
}

ControlOptions parseControlOptions(const std::vector<std::string> &arguments, const EnvironmentReader &environment)
{
    std::vector<const char *> pointers = { "lovagewardctl" };
    for (const auto &argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        auto parser = describeOptions();
        auto result = parser.parse(static_cast<int>(pointers.size()), pointers.data());
        ControlOptions options;
        options.admin = flagOrVariable(result, "admin", environment("LOVAGEWARD_ADMIN"));
        options.key = flagOrVariable(result, "key", environment("LOVAGEWARD_KEY"));
        options.isJson = result.count("json") > 0;
        options.waits = result.count("wait") > 0;
        options.isHelp = result.count("help") > 0;
        options.isVersion = result.count("version") > 0;
        if (result.count("timeout") > 0) {
            options.waitSeconds = result["timeout"].as<unsigned>();
        }
        if (result.count("words") > 0) {
            options.words = result["words"].as<std::vector<std::string>>();
        }
        takeValues(options, result);
        return options;
    } catch (const cxxopts::exceptions::exception &error) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, error.what());
    }
}

std::string controlHelp()
{
    return describeOptions().help() + "\n" + commandHelp;
}

}
