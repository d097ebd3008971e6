#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Lovageward {

/** Looks up an environment variable; returns nullptr if it isn't set. Tests replace std::getenv by a map. */
using EnvironmentLookup = std::function<const char *(const std::string &name)>;

/** A setting that is given by a flag or by an environment variable of the same name, for example `--log-level` and `LOVAGEWARD_LOG_LEVEL`. */
struct SettingDefinition
{
    std::string name;
    std::string description;
    std::string defaultValue;
    /** Throws Error(InvalidSettings) with the reason if the text is invalid. */
    std::function<void(const std::string &text)> check;
};

/** Checks for SettingDefinition. Each throws Error(InvalidSettings). */
namespace SettingChecks {

void acceptAnyText(const std::string &text);
void checkNonEmpty(const std::string &text);
void checkLogLevel(const std::string &text);
/** "IP:port" with a numeric IP address. */
void checkAddress(const std::string &text);
/** Like checkAddress(), but also accepts an empty text. */
void checkOptionalAddress(const std::string &text);
/** Returns a check that accepts integers from `lowest` to `highest`. */
std::function<void(const std::string &)> wholeNumberCheck(std::int64_t lowest, std::int64_t highest);

}

/** Splits a comma-separated setting into trimmed entries and leaves out empty ones. */
std::vector<std::string> splitSettingList(const std::string &text);

/** Reads and checks the values of settings. A flag takes precedence over its environment variable, which takes precedence over the settings file. */
class SettingsReader
{
public:
    explicit SettingsReader(std::vector<SettingDefinition> definitions);

    /**
     * Reads `--name=value`, `--name value` and the environment.
     * Throws one Error(InvalidSettings) that lists every invalid setting with its flag and variable.
     */
    void read(const std::vector<std::string> &arguments, const EnvironmentLookup &environment);

    /**
     * Reads values from lines of the form `name = value`. Must be called before read(), which overrides these values. Skips empty lines,
     * comments that begin with `#` and undefined names. Throws Error(InvalidSettings) for any other line.
     */
    void readFile(const std::string &text);

    const std::string &text(const std::string &name) const;
    std::int64_t number(const std::string &name) const;

    /** Description of all settings for `--help`. */
    std::string helpText() const;

    /** "LOVAGEWARD_LOG_LEVEL" for "log-level". */
    static std::string environmentVariableName(const std::string &name);

private:
    struct Value
    {
        std::string name;
        std::string text;
    };

    void readFlags(const std::vector<std::string> &arguments, std::vector<std::string> &problems);
    void readEnvironment(const EnvironmentLookup &environment);
    void checkValues(std::vector<std::string> &problems) const;
    Value &findValue(const std::string &name);

    std::vector<SettingDefinition> definitions;
    std::vector<Value> values;
};

}
