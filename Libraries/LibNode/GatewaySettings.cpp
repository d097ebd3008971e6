#include <LibNode/GatewaySettings.h>

#include <LibCore/Error.h>
#include <LibForward/ControlServer.h>
#include <LibNode/MemoryBudget.h>

#include <Poco/NumberParser.h>
#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

/**
 * File descriptors of four requests: for each the caller's connection and two connections to upstreams, and one accepted connection that waits for a
 * thread (ConnectionPlaces::queuedConnections).
 */
constexpr std::int64_t descriptorsPerFourConnections = 13;

/**
 * File descriptors of the node itself: the connections of its readiness and control addresses (ControlServer), and 32 for listeners, the store, peers,
 * standard streams, pipes and events.
 */
constexpr std::int64_t ownDescriptors = 2 * static_cast<std::int64_t>(ControlServer::maximumConnections) + 32;

/** Largest value of a setting that limits the size of a response. */
constexpr std::int64_t maximumResponseByteLimit = std::int64_t(1) << 40;

/** Memory of a gateway: the program and its libraries (11 MB), and the state of a fleet of 340 nodes (docs/CAPACITY.md). */
constexpr std::int64_t ownMegabytes = 16;

/** Bytes of a connection: the used part of its stack (40 KB), received bytes (32 KB), and the first part of a response (32 KB). */
constexpr std::uint64_t bytesPerConnection = 104'000;

/** Connections for which there are descriptors on any machine. */
constexpr std::int64_t minimumConnections = 16;

[[noreturn]] void reject(const std::string &reason)
{
    throw Error(ResultCode::InvalidSettings, RunState::NotRun, reason);
}

void checkDecimal(const std::string &text)
{
    double number = 0;
    if (!Poco::NumberParser::tryParseFloat(text, number) || number < 0) {
        reject(fmt::format("'{}' is not a non-negative number", text));
    }
}

void checkFraction(const std::string &text)
{
    checkDecimal(text);
    if (Poco::NumberParser::parseFloat(text) > 1) {
        reject(fmt::format("'{}' is greater than 1", text));
    }
}

void checkSwitch(const std::string &text)
{
    if (text != "on" && text != "off") {
        reject(fmt::format("'{}' is neither 'on' nor 'off'", text));
    }
}

void acceptAny(const std::string & /*text*/)
{
}

void checkOptionalDecimal(const std::string &text)
{
    if (!text.empty()) {
        checkDecimal(text);
    }
}

void checkOptionalFraction(const std::string &text)
{
    if (!text.empty()) {
        checkFraction(text);
    }
}

void checkWaitOrder(const std::string &text)
{
    if (!text.empty() && text != "arrival" && text != "deadline") {
        reject(fmt::format("'{}' is neither 'arrival' nor 'deadline'", text));
    }
}

std::optional<WaitOrder> parseWaitOrder(const std::string &text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    return text == "deadline" ? WaitOrder::Deadline : WaitOrder::Arrival;
}

void checkDomainList(const std::string &text)
{
    for (const auto &entry : splitSettingList(text)) {
        auto colon = entry.find(':');
        if (colon == std::string::npos || colon == 0 || colon + 1 == entry.size()) {
            reject(fmt::format("'{}' does not have the form domain:region", entry));
        }
    }
}

void checkAddressList(const std::string &text)
{
    for (const auto &entry : splitSettingList(text)) {
        SettingChecks::checkAddress(entry);
    }
}

std::map<FailureDomainId, RegionId> parseDomains(const std::string &text)
{
    std::map<FailureDomainId, RegionId> domains;
    for (const auto &entry : splitSettingList(text)) {
        auto colon = entry.find(':');
        domains[FailureDomainId(entry.substr(0, colon))] = RegionId(entry.substr(colon + 1));
    }
    return domains;
}

/** The configured addresses contain another port of the hosts. It is replaced by the peer port, which is the same on all hosts. */
std::vector<std::string> parseSeedAddresses(const std::string &text, const std::string &peerListen)
{
    std::vector<std::string> seeds;
    auto port = peerListen.substr(peerListen.rfind(':'));
    for (const auto &entry : splitSettingList(text)) {
        seeds.push_back(entry.substr(0, entry.rfind(':')) + port);
    }
    return seeds;
}

}

std::vector<SettingDefinition> gatewaySettingDefinitions()
{
    using namespace SettingChecks;
    return {
        { "host", "name of this entry host", "node-1", checkNonEmpty },
        { "region", "region of this host", "local", checkNonEmpty },
        { "failure-domain", "failure domain of this host", "local-a", checkNonEmpty },
        { "domains", "comma-separated domain:region pairs of all failure domains", "local-a:local", checkDomainList },
        { "listen", "IP:port on which callers connect", "127.0.0.1:8080", checkAddress },
        { "ready-listen", "IP:port of the load balancer's readiness check", "127.0.0.1:8082", checkAddress },
        { "ready-path", "path of the load balancer's readiness check", "/readyz", checkNonEmpty },
        { "control-listen", "IP:port of metrics and of feed pages for peers", "127.0.0.1:8083", checkAddress },
        { "peer-listen", "IP:port for datagrams between nodes", "127.0.0.1:8084", checkAddress },
        { "seeds", "comma-separated IP:port of some hosts; the ports are replaced by the peer port", "", checkAddressList },
        { "store", "IP:port of the platform's store", "127.0.0.1:9100", checkAddress },
        { "grace-seconds", "seconds between the stop signal and the end of the process", "8", wholeNumberCheck(1, 3'600) },
        { "retry-ratio", "maximum ratio of retries to requests, summed over all nodes", "0.2", checkDecimal },
        { "retry-slack", "retries that all nodes together may make in addition to the ratio", "50", checkDecimal },
        { "retry-window-seconds", "window in seconds over which both retry limits apply", "10", wholeNumberCheck(1, 3'600) },
        { "memory-megabytes", "memory limit of this process in megabytes", "256", wholeNumberCheck(32, 1'000'000) },
        { "descriptors", "limit on the file descriptors of this process", "4096", wholeNumberCheck(256, 10'000'000) },
        { "reserved-descriptors", "file descriptors, of 'descriptors', that sockets can't use", "0", wholeNumberCheck(0, 1'000'000) },
        { "read-ahead-bytes",
          "maximum size in bytes of further requests that are received from a connection while a response is pending",
          "16384",
          wholeNumberCheck(1, 1'048'576) },
        { "body-bytes-per-second", "minimum rate in bytes per second at which a request's body has to arrive", "1024", wholeNumberCheck(0, 1'000'000'000) },
        { "body-rate-seconds", "time in seconds over which the minimum rate is taken", "5", wholeNumberCheck(1, 3'600) },
        { "memory-wait-ms", "time in milliseconds for which a body waits for memory before it is rejected", "1000", wholeNumberCheck(0, 60'000) },
        { "answer-head-bytes", "maximum size of an upstream's response head in bytes", "65536", wholeNumberCheck(1024, maximumResponseByteLimit) },
        { "answer-interim-bytes",
          "maximum total size of the interim response heads before a response in bytes",
          "16384",
          wholeNumberCheck(0, maximumResponseByteLimit) },
        { "answer-line-bytes", "maximum size of a framing line of a chunked response in bytes", "4096", wholeNumberCheck(64, maximumResponseByteLimit) },
        { "answer-trailer-bytes", "maximum total size of the trailer fields of a response in bytes", "16384", wholeNumberCheck(0, maximumResponseByteLimit) },
        { "answer-held-bytes",
          "maximum size of a buffered response body in bytes; a longer body is streamed to the caller",
          "262144",
          wholeNumberCheck(4096, maximumResponseByteLimit) },
        { "answer-body-bytes", "maximum size of a response body in bytes, including streams", "67108864", wholeNumberCheck(4096, maximumResponseByteLimit) },
        { "event-bytes", "maximum size of one event of a stream in bytes", "262144", wholeNumberCheck(1024, maximumResponseByteLimit) },
        { "standby-fill", "utilization of an engine, from 0 to 1, up to which it takes standby copies of running work; 0 for none", "0", checkFraction },
        { "reported-load", "'on': the load that upstreams report takes effect for all pools; 'off': only for pools that report slowness", "off", checkSwitch },
        { "platform-features", "comma-separated names of the platform's features in use, which select other settings", "", acceptAny },
        { "rollout-share", "maximum ratio of requests that a bad version receives in a roll-out; empty to disable roll-outs", "", checkOptionalFraction },
        { "rollout-slack", "requests that a bad version may receive in addition, summed over all nodes; empty to disable roll-outs", "", checkOptionalDecimal },
        { "rollout-rollback-ms",
          "milliseconds after the 50th bad response of a version within which requests to it end; empty to disable roll-outs",
          "",
          checkOptionalDecimal },
        { "wait-order", "order in which requests wait for capacity: 'arrival' or 'deadline'; empty means 'arrival'", "", checkWaitOrder },
        { "log-lines", "maximum number of structured log lines per second", "400", wholeNumberCheck(1, 1'000'000) },
    };
}

namespace {

std::vector<SettingDefault> translateFeatures(const std::string &features, const FeatureTranslation &translateFeature)
{
    std::vector<SettingDefault> defaults;
    for (const auto &feature : splitSettingList(features)) {
        auto selected = translateFeature ? translateFeature(feature) : std::vector<SettingDefault>();
        defaults.insert(defaults.end(), selected.begin(), selected.end());
    }
    return defaults;
}

ResponseLimits readResponseLimits(const SettingsReader &reader)
{
    ResponseLimits limits;
    limits.headBytes = static_cast<std::size_t>(reader.number("answer-head-bytes"));
    limits.interimBytes = static_cast<std::size_t>(reader.number("answer-interim-bytes"));
    limits.lineBytes = static_cast<std::size_t>(reader.number("answer-line-bytes"));
    limits.trailerBytes = static_cast<std::size_t>(reader.number("answer-trailer-bytes"));
    limits.bufferedBodyBytes = static_cast<std::size_t>(reader.number("answer-held-bytes"));
    limits.bodyBytes = static_cast<std::uint64_t>(reader.number("answer-body-bytes"));
    limits.eventBytes = static_cast<std::size_t>(reader.number("event-bytes"));
    return limits;
}

}

namespace {

std::optional<RolloutLimits> readRolloutLimits(const SettingsReader &reader)
{
    auto share = reader.text("rollout-share");
    auto slack = reader.text("rollout-slack");
    auto rollback = reader.text("rollout-rollback-ms");
    if (share.empty() || slack.empty() || rollback.empty()) {
        return std::nullopt;
    }
    std::chrono::duration<double, std::milli> rollbackTime(Poco::NumberParser::parseFloat(rollback));
    return RolloutLimits { Poco::NumberParser::parseFloat(share), Poco::NumberParser::parseFloat(slack), std::chrono::duration_cast<Duration>(rollbackTime) };
}

}

GatewaySettings readGatewaySettings(const std::string &file,
                                    const std::vector<std::string> &arguments,
                                    const EnvironmentLookup &environment,
                                    const FeatureTranslation &translateFeature)
{
    auto definitions = gatewaySettingDefinitions();
    SettingsReader givenSettings(definitions);
    givenSettings.readFile(file);
    givenSettings.read(arguments, environment);
    // The settings of the features replace the defaults, so that a setting that is given itself takes precedence.
    for (const auto &selected : translateFeatures(givenSettings.text("platform-features"), translateFeature)) {
        auto definition = std::find_if(definitions.begin(), definitions.end(), [&](const auto &entry) { return entry.name == selected.name; });
        if (definition == definitions.end()) {
            reject(fmt::format("a feature of the platform selects the unknown setting '{}'", selected.name));
        }
        definition->defaultValue = selected.value;
    }
    SettingsReader reader(definitions);
    reader.readFile(file);
    reader.read(arguments, environment);
    GatewaySettings settings;
    settings.host = HostId(reader.text("host"));
    settings.location.region = RegionId(reader.text("region"));
    settings.location.failureDomain = FailureDomainId(reader.text("failure-domain"));
    settings.location.regions = parseDomains(reader.text("domains"));
    settings.listenAddress = reader.text("listen");
    settings.readinessListenAddress = reader.text("ready-listen");
    settings.readinessPath = reader.text("ready-path");
    settings.controlListenAddress = reader.text("control-listen");
    settings.peerListenAddress = reader.text("peer-listen");
    settings.seedAddresses = parseSeedAddresses(reader.text("seeds"), settings.peerListenAddress);
    settings.storeAddress = reader.text("store");
    settings.gracePeriod = seconds(reader.number("grace-seconds"));
    settings.retryBudgetLimits.ratio = Poco::NumberParser::parseFloat(reader.text("retry-ratio"));
    settings.retryBudgetLimits.slack = Poco::NumberParser::parseFloat(reader.text("retry-slack"));
    settings.retryBudgetLimits.window = seconds(reader.number("retry-window-seconds"));
    settings.standbyUtilizationLimit = Poco::NumberParser::parseFloat(reader.text("standby-fill"));
    settings.usesReportedLoadOfAllPools = reader.text("reported-load") == "on";
    settings.waitOrder = parseWaitOrder(reader.text("wait-order"));
    settings.responseLimits = readResponseLimits(reader);
    settings.rolloutLimits = readRolloutLimits(reader);
    auto budget = makeMemoryBudget(reader.number("memory-megabytes"), { ownMegabytes, bytesPerConnection });
    settings.memoryLimits = budget.limits;
    auto descriptors = reader.number("descriptors") - reader.number("reserved-descriptors") - ownDescriptors;
    auto descriptorLimit = std::max(descriptors * 4 / descriptorsPerFourConnections, minimumConnections);
    settings.maximumConnections = static_cast<int>(std::min(budget.maximumConnections, descriptorLimit));
    settings.connectionLimits.readAheadBytes = static_cast<std::size_t>(reader.number("read-ahead-bytes"));
    settings.connectionLimits.bodyRate.bytesPerSecond = static_cast<std::uint64_t>(reader.number("body-bytes-per-second"));
    settings.connectionLimits.bodyRate.window = seconds(reader.number("body-rate-seconds"));
    settings.connectionLimits.memoryWait = milliseconds(reader.number("memory-wait-ms"));
    settings.logLinesPerSecond = static_cast<double>(reader.number("log-lines"));
    return settings;
}

}
