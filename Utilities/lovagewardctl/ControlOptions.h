#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lovageward {

/** The command line after parsing. */
struct ControlOptions
{
    /** "host:port" of a node's administration API. */
    std::string admin;
    std::string key;
    bool isJson = false;
    /** True if a change is followed until it is in force everywhere. */
    bool waits = false;
    bool isHelp = false;
    bool isVersion = false;
    /** Longest time that `wait` and `--wait` take, in seconds. */
    unsigned waitSeconds = 30;
    /** Words that aren't flags, for example "team", "set", "atelier". */
    std::vector<std::string> words;
    /** Values of the other flags that were given, by flag. */
    std::map<std::string, std::string> values;

    std::optional<std::string> value(const std::string &flag) const;
};

/** Value of an environment variable, empty if it isn't set. */
using EnvironmentReader = std::function<std::string(const std::string &)>;

/** Flags win over environment variables. Throws Error(BadRequest) for flags that can't be read. */
ControlOptions parseControlOptions(const std::vector<std::string> &arguments, const EnvironmentReader &environment);

/** Commands, flags, environment variables and exit codes. */
std::string controlHelp();

}
