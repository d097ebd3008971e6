#include <LibNode/NodeSettings.h>

#include <LibCore/Error.h>
#include <LibHttp/CallerServerSettings.h>
#include <LibNode/MemoryBudget.h>

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace Lovageward {

namespace {

constexpr std::size_t minimumResumeKeyLength = 32;
/** Memory of a node without clients: the program and its libraries, and the state of a fleet of 340 nodes (docs/CAPACITY.md). */
constexpr std::int64_t ownMegabytes = 24;
constexpr double bytesPerMegabit = 1'000'000.0 / 8;

void checkResumeKey(const std::string &text)
{
    if (!text.empty() && text.size() < minimumResumeKeyLength) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, fmt::format("must have at least {} characters", minimumResumeKeyLength));
    }
}

void checkAdministrationKeys(const std::string &text)
{
    constexpr std::size_t digestLength = 64;
    std::stringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        auto colon = part.rfind(':');
        auto digest = colon == std::string::npos ? std::string() : part.substr(colon + 1);
        auto isHexadecimal = digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (digest.size() != digestLength || !isHexadecimal) {
            throw Error(ResultCode::InvalidSettings, RunState::NotRun, "every entry must be role:sha256 with 64 lower-case hexadecimal digits");
        }
    }
}

void checkCombination(const NodeSettings &settings)
{
    std::string problems;
    auto require = [&](bool isMet, const char *problem) {
        if (!isMet) {
            problems += problems.empty() ? problem : std::string("\n") + problem;
        }
    };
    if (!settings.isEmbedded()) {
        require(!settings.resumeKey.empty(), "--resume-key / LOVAGEWARD_RESUME_KEY: required with --platform, with the same value on all nodes");
        require(settings.hostsFile.empty(), "--hosts-file / LOVAGEWARD_HOSTS_FILE: can't be combined with --platform, which provides the host list");
    }
    if (!problems.empty()) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, problems);
    }
}

}

std::vector<SettingDefinition> nodeSettingDefinitions()
{
    using namespace SettingChecks;
    return {
        { "listen", "IP:port of the caller API", "127.0.0.1:8080", checkAddress },
        { "admin-listen", "IP:port of the administration API", "127.0.0.1:8081", checkAddress },
        { "peer-listen", "IP:port for messages between nodes", "127.0.0.1:8082", checkAddress },
        { "host", "name of this entry host in the host list", "node-1", checkNonEmpty },
        { "region", "region of this host", "local", checkNonEmpty },
        { "failure-domain", "failure domain of this host", "local-a", checkNonEmpty },
        { "platform", "IP:port of the platform; if empty, a single node runs on an in-memory log", "", checkOptionalAddress },
        { "hosts-file", "JSON file with the host list; only without a platform", "", acceptAnyText },
        { "log-level", "debug, info, warning or error", "info", checkLogLevel },
        { "resume-key", "secret for resume tokens, the same on all nodes", "", checkResumeKey },
        { "admin-keys", "comma-separated role:sha256 of administration keys", "", checkAdministrationKeys },
        { "shutdown-seconds", "maximum duration of a graceful shutdown in seconds", "600", wholeNumberCheck(1, 86'400) },
        { "gap-seconds", "seconds without a token after which a stream is resumed on a new connection", "5", wholeNumberCheck(1, 600) },
        { "link-megabits", "rate of the link between regions in megabits per second", "30", wholeNumberCheck(1, 1'000'000) },
        { "max-body-bytes", "maximum size of a request body in bytes", "1048576", wholeNumberCheck(1'024, 1 << 28) },
        { "max-connections", "maximum number of open caller connections, each of which uses a thread", "1000", wholeNumberCheck(1, 20'000) },
        { "max-json-values", "maximum number of JSON values in the body of a generation request", "20000", wholeNumberCheck(100, 100'000'000) },
        { "memory-megabytes", "memory limit of this process in megabytes", "128", wholeNumberCheck(48, 1'000'000) },
        { "digest-fanout", "number of owners in the node's region whose upstreams it uses; 0 for all", "0", wholeNumberCheck(0, 1'000) },
    };
}

NodeSettings readNodeSettings(const std::vector<std::string> &arguments, const EnvironmentLookup &environment)
{
    SettingsReader reader(nodeSettingDefinitions());
    reader.read(arguments, environment);
    NodeSettings settings;
    settings.listenAddress = reader.text("listen");
    settings.administrationListenAddress = reader.text("admin-listen");
    settings.peerListenAddress = reader.text("peer-listen");
    settings.host = HostId(reader.text("host"));
    settings.region = RegionId(reader.text("region"));
    settings.failureDomain = FailureDomainId(reader.text("failure-domain"));
    settings.platformAddress = reader.text("platform");
    settings.hostsFile = reader.text("hosts-file");
    settings.logLevel = parseLogLevel(reader.text("log-level"));
    settings.resumeKey = reader.text("resume-key");
    settings.administrationKeys = splitSettingList(reader.text("admin-keys"));
    settings.shutdownTimeout = seconds(reader.number("shutdown-seconds"));
    settings.tokenGapLimit = seconds(reader.number("gap-seconds"));
    settings.linkBytesPerSecond = static_cast<double>(reader.number("link-megabits")) * bytesPerMegabit;
    settings.maximumBodyBytes = static_cast<std::uint64_t>(reader.number("max-body-bytes"));
    auto budget = makeMemoryBudget(reader.number("memory-megabytes"), { ownMegabytes, callerConnectionBytes });
    settings.memoryLimits = budget.limits;
    settings.maximumJsonValues = static_cast<std::size_t>(reader.number("max-json-values"));
    settings.maximumConnections = static_cast<std::uint32_t>(std::min(reader.number("max-connections"), budget.maximumConnections));
    settings.digestFanOut = static_cast<std::uint32_t>(reader.number("digest-fanout"));
    checkCombination(settings);
    return settings;
}

}
