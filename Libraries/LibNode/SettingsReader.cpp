#include <LibNode/SettingsReader.h>

#include <LibCore/Error.h>
#include <LibCore/Logger.h>

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <sstream>

namespace Lovageward {

namespace {

[[noreturn]] void reject(const std::string &reason)
{
    throw Error(ResultCode::InvalidSettings, RunState::NotRun, reason);
}

}

namespace SettingChecks {

void acceptAnyText(const std::string & /*text*/)
{
}

void checkNonEmpty(const std::string &text)
{
    if (text.empty()) {
        reject("must not be empty");
    }
}

void checkLogLevel(const std::string &text)
{
    parseLogLevel(text);
}

void checkAddress(const std::string &text)
{
    auto colon = text.rfind(':');
    Poco::Net::IPAddress host;
    unsigned port = 0;
    auto hasParts = colon != std::string::npos && colon > 0;
    if (!hasParts || !Poco::Net::IPAddress::tryParse(text.substr(0, colon), host)) {
        reject(fmt::format("'{}' does not have the form IP:port", text));
    }
    constexpr unsigned highestPort = 65535;
    if (!Poco::NumberParser::tryParseUnsigned(text.substr(colon + 1), port) || port > highestPort) {
        reject(fmt::format("'{}' does not have a port from 0 to 65535", text));
    }
}

void checkOptionalAddress(const std::string &text)
{
    if (!text.empty()) {
        checkAddress(text);
    }
}

std::function<void(const std::string &)> wholeNumberCheck(std::int64_t lowest, std::int64_t highest)
{
    return [lowest, highest](const std::string &text) {
        Poco::Int64 number = 0;
        if (!Poco::NumberParser::tryParse64(text, number) || number < lowest || number > highest) {
            reject(fmt::format("'{}' is not an integer from {} to {}", text, lowest, highest));
        }
    };
}

}

std::vector<std::string> splitSettingList(const std::string &text)
{
    Poco::StringTokenizer parts(text, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    return { parts.begin(), parts.end() };
}

SettingsReader::SettingsReader(std::vector<SettingDefinition> definitions) : definitions(std::move(definitions))
{
    for (const auto &definition : this->definitions) {
        this->values.push_back(Value { definition.name, definition.defaultValue });
    }
}

void SettingsReader::read(const std::vector<std::string> &arguments, const EnvironmentLookup &environment)
{
    std::vector<std::string> problems;
    this->readEnvironment(environment);
    this->readFlags(arguments, problems);
    this->checkValues(problems);
    if (!problems.empty()) {
        reject(fmt::format("{}", fmt::join(problems, "\n")));
    }
}

void SettingsReader::readFile(const std::string &text)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        line = Poco::trim(line);
        if (line.empty() || line.front() == '#') {
            continue;
        }
        auto separator = line.find('=');
        if (separator == std::string::npos) {
            reject(fmt::format("the settings file has a line without '=': {}", line));
        }
        auto name = Poco::trim(line.substr(0, separator));
        auto found = std::find_if(this->values.begin(), this->values.end(), [&](const Value &value) { return value.name == name; });
        if (found != this->values.end()) {
            found->text = Poco::trim(line.substr(separator + 1));
        }
    }
}

const std::string &SettingsReader::text(const std::string &name) const
{
    return const_cast<SettingsReader *>(this)->findValue(name).text;
}

std::int64_t SettingsReader::number(const std::string &name) const
{
    return Poco::NumberParser::parse64(this->text(name));
}

std::string SettingsReader::helpText() const
{
    std::string text;
    for (const auto &definition : this->definitions) {
        text += fmt::format(
            "  --{:<22} {} ({}; default '{}')\n", definition.name, definition.description, environmentVariableName(definition.name), definition.defaultValue);
    }
    return text;
}

std::string SettingsReader::environmentVariableName(const std::string &name)
{
    std::string variable = "LOVAGEWARD_";
    for (char letter : name) {
        variable += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return variable;
}

void SettingsReader::readFlags(const std::vector<std::string> &arguments, std::vector<std::string> &problems)
{
    cxxopts::Options options("lovageward");
    options.allow_unrecognised_options();
    for (const auto &definition : this->definitions) {
        options.add_options()(definition.name, definition.description, cxxopts::value<std::string>());
    }
    std::vector<const char *> pointers = { "lovageward" };
    for (const auto &argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        for (const auto &unknown : parsed.unmatched()) {
            problems.push_back(fmt::format("{}: unknown flag or argument", unknown));
        }
        for (auto &value : this->values) {
            if (parsed.count(value.name) > 0) {
                value.text = parsed[value.name].as<std::string>();
            }
        }
    } catch (const cxxopts::exceptions::exception &error) {
        problems.emplace_back(error.what());
    }
}

void SettingsReader::readEnvironment(const EnvironmentLookup &environment)
{
    for (auto &value : this->values) {
        const auto *found = environment(environmentVariableName(value.name));
        if (found != nullptr) {
            value.text = found;
        }
    }
}

void SettingsReader::checkValues(std::vector<std::string> &problems) const
{
    for (const auto &definition : this->definitions) {
        try {
            definition.check(this->text(definition.name));
        } catch (const Error &error) {
            problems.push_back(fmt::format("--{} / {}: {}", definition.name, environmentVariableName(definition.name), error.what()));
        }
    }
}

SettingsReader::Value &SettingsReader::findValue(const std::string &name)
{
    auto found = std::find_if(this->values.begin(), this->values.end(), [&](const Value &value) { return value.name == name; });
    if (found == this->values.end()) {
        throw Error(ResultCode::Internal, RunState::NotRun, fmt::format("no setting is named '{}'", name));
    }
    return *found;
}

}
