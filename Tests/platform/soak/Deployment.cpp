#include "Deployment.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <csignal>
#include <future>
#include <stdexcept>

namespace Lovageward::Soak {

namespace {

constexpr int callerPort = 8480;
constexpr int readyPort = 8481;
constexpr int controlPort = 7201;
constexpr int peerPort = 7200;
constexpr int stopGraceSeconds = 8;
/** Time beyond the grace period in which the process of a stopping node must exit. */
constexpr Duration stopTolerance = seconds(1);
/** Covers the platform's limit on the propagation of a drain and the longest response of an upstream. */
constexpr Duration minimumDrainTime = milliseconds(5000);
/** Requests per second that half of the upstreams accept for some time. */
constexpr double limitedUpstreamRate = 2;
constexpr Duration startTimeout = seconds(20);
constexpr auto retryInterval = milliseconds(20);
constexpr long requestTimeoutSeconds = 1;

const std::string operatorTopic = "keyed.op";
const std::string upstreamTopic = "keyed.servers";

/** Time after a restoration of the store until what it lost is written again, in which nodes can only rely on what they hold. */
constexpr Duration rewriteDelay = milliseconds(800);

std::string bigEndian32(std::size_t number)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xFFU);
    }
    return text;
}

std::string encodeRecord(const std::string &key, const std::string &value)
{
    auto content = std::string(1, static_cast<char>(key.size())) + key + value;
    return bigEndian32(content.size()) + content;
}

std::string appendTarget(const std::string &topic)
{
    return "/-/log-append?topic=" + topic + "&part=0";
}

}

const std::string &Deployment::host()
{
    static const std::string name = "soak.example";
    return name;
}

const std::string &Deployment::apiKey()
{
    static const std::string text = "key-of-the-team";
    return text;
}

Deployment::Deployment(const Clock &clock, InvariantChecker &checker, DeploymentSettings settings)
    : clock(clock)
    , checker(checker)
    , settings(std::move(settings))
    , nodeLog(this->settings.logs + "/nodes.log")
    , nodes(this->settings.nodes)
    , upstreams(this->settings.upstreams)
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        this->nodes[index].ip = fmt::format("127.{}.{}.{}", this->settings.networkNumber / 250 + 10, this->settings.networkNumber % 250, index + 1);
        this->nodes[index].callerLink = std::make_unique<LinkProxy>(fmt::format("{}:{}", this->nodes[index].ip, callerPort));
    }
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        this->upstreams[index].id = fmt::format("u{}", index);
        this->upstreams[index].domain = fmt::format("d{}", index % 2);
        this->upstreams[index].pool = index % 4 < 2 ? "services" : "engines";
        this->upstreams[index].rateLimit = index % 2 == 1 ? limitedUpstreamRate : 0;
        this->upstreams[index].link = std::make_unique<LinkProxy>("127.0.0.1:1");
    }
}

Deployment::~Deployment()
{
    // Processes are killed before the proxies are destroyed. SIGKILL ends paused processes as well.
    for (auto &node : this->nodes) {
        node.process.reset();
    }
    for (auto &upstream : this->upstreams) {
        upstream.process.reset();
    }
    this->store.reset();
}

std::vector<std::string> Deployment::nodeAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &node : this->nodes) {
        addresses.push_back(node.callerLink->address());
    }
    return addresses;
}

std::unique_ptr<ChildProcess> Deployment::startStandIn(const std::vector<std::string> &arguments, const std::string &upstream, int &port)
{
    auto portPromise = std::make_shared<std::promise<int>>();
    auto portFuture = portPromise->get_future();
    std::vector<std::string> command { this->settings.soakProgram };
    command.insert(command.end(), arguments.begin(), arguments.end());
    auto process = std::make_unique<ChildProcess>(command, [this, portPromise, upstream](const std::string &line) {
        auto space = line.find(' ');
        auto keyword = line.substr(0, space);
        auto argument = line.substr(space + 1);
        if (keyword == "port") {
            portPromise->set_value(std::stoi(argument));
        } else if (keyword == "run") {
            this->checker.recordRun(upstream, argument);
        } else if (keyword == "continued") {
            this->checker.recordContinuedRun(upstream);
        } else if (keyword == "refused") {
            this->checker.recordUpstreamRefusal(upstream, argument);
        } else if (keyword == "limited") {
            this->checker.recordRateLimit(upstream, std::stod(argument));
        } else if (keyword == "unlimited") {
            this->checker.recordRateLimitEnd(upstream);
        }
    });
    if (portFuture.wait_for(startTimeout) != std::future_status::ready) {
        throw std::runtime_error("a stand-in did not print its port");
    }
    port = portFuture.get();
    return process;
}

void Deployment::start()
{
    int port = 0;
    this->store = this->startStandIn({ "store" }, {}, port);
    this->storeAddress = fmt::format("127.0.0.1:{}", port);
    this->storeLink = std::make_unique<LinkProxy>(this->storeAddress);
    this->publishConfig();
    for (auto &upstream : this->upstreams) {
        this->startUpstream(upstream);
    }
    for (auto &node : this->nodes) {
        this->startNode(node);
    }
    auto giveUpAt = this->clock.now() + startTimeout;
    for (const auto &node : this->nodes) {
        while (!this->isReady(node)) {
            if (this->clock.now() >= giveUpAt) {
                throw std::runtime_error("a node did not become ready");
            }
            std::this_thread::sleep_for(retryInterval);
        }
    }
}

void Deployment::startUpstream(Upstream &upstream)
{
    ++upstream.incarnation;
    int port = 0;
    upstream.process = this->startStandIn({ "upstream", "--id", upstream.id, "--rate-limit", fmt::format("{}", upstream.rateLimit) }, upstream.id, port);
    upstream.link->setTarget(fmt::format("127.0.0.1:{}", port));
    this->checker.recordColdStart(upstream.id);
    this->publishUpstream(upstream, false);
}

void Deployment::startNode(Node &node)
{
    ++node.incarnation;
    this->writeSettings(node, stopGraceSeconds);
    std::vector<std::string> command {
        "/usr/bin/env", fmt::format("LOVAGEWARD_CONFIG={}/{}.settings", this->settings.logs, node.ip), this->settings.program, "gateway"
    };
    node.process = std::make_unique<ChildProcess>(
        command, [this, &node, incarnation = node.incarnation](const std::string &line) { this->handleNodeOutput(node, incarnation, line); });
}

void Deployment::handleNodeOutput(Node &node, int incarnation, const std::string &line)
{
    {
        std::lock_guard<std::mutex> guard(this->logMutex);
        this->nodeLog << node.ip << ' ' << incarnation << ' ' << line << '\n' << std::flush;
    }
    static const std::string versionField = "\"version\":";
    auto version = line.find(versionField);
    if (line.find("\"event\":\"config\"") != std::string::npos && line.find("\"in_force\":true") != std::string::npos && version != std::string::npos) {
        this->checker.recordAppliedConfig(fmt::format("{} life {}", node.ip, incarnation), std::stoull(line.substr(version + versionField.size())));
    }
}

void Deployment::writeSettings(const Node &node, int graceSeconds) const
{
    std::ofstream file(fmt::format("{}/{}.settings", this->settings.logs, node.ip));
    file << fmt::format("host = {0}\nregion = r\nfailure-domain = d0\ndomains = d0:r,d1:r\nlisten = {0}:{1}\nready-listen = {0}:{2}\ncontrol-listen = {0}:{3}\n"
                        "peer-listen = {0}:{4}\nseeds = {5}:{4}\nstore = {6}\ngrace-seconds = {7}\nready-path = /ready\nlog-lines = 2000\n",
                        node.ip,
                        callerPort,
                        readyPort,
                        controlPort,
                        peerPort,
                        this->nodes.front().ip,
                        this->storeLink->address(),
                        graceSeconds);
}

bool Deployment::isReady(const Node &node) const
{
    try {
        Poco::Net::HTTPClientSession session(node.ip, readyPort);
        session.setTimeout(Poco::Timespan(requestTimeoutSeconds, 0));
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/ready");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void Deployment::appendRecord(const std::string &topic, const std::string &key, const std::string &value)
{
    std::lock_guard<std::mutex> guard(this->publishMutex);
    this->publishedValues[{ topic, key }] = value;
    this->callStore(appendTarget(topic), encodeRecord(key, value));
}

void Deployment::restoreStore(Duration age)
{
    std::lock_guard<std::mutex> guard(this->publishMutex);
    this->callStore(fmt::format("/restore?ageMs={}", age / milliseconds(1)), {});
    this->sleep(rewriteDelay);
    for (const auto &[name, value] : this->publishedValues) {
        this->callStore(appendTarget(name.first), encodeRecord(name.second, value));
    }
}

void Deployment::callStore(const std::string &target, const std::string &body)
{
    while (true) {
        try {
            Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(this->storeAddress) };
            session.setTimeout(Poco::Timespan(requestTimeoutSeconds, 0));
            Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, target);
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
            session.sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            session.receiveResponse(response);
            return;
        } catch (const Poco::Exception &) {
            // The store is paused. Appending a record twice is harmless because records are idempotent.
            std::this_thread::sleep_for(retryInterval);
        }
    }
}

void Deployment::publishUpstream(const Upstream &upstream, bool isDraining)
{
    this->appendRecord(
        upstreamTopic,
        upstream.id,
        fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":40,"state":"{}","born":{},"coldLeftMs":{},"sequence":{}}})",
                    upstream.pool,
                    upstream.link->address(),
                    upstream.domain,
                    isDraining ? "draining" : "ready",
                    upstream.incarnation,
                    isDraining ? 0 : toMilliseconds(TimePoint(coldDuration)),
                    isDraining ? 2 : 1));
}

void Deployment::publishConfig()
{
    auto route = [](const std::string &path, const std::string &pool, const std::string &kind) {
        return fmt::format(R"({{"name":"r{0}","host":"{1}","pathPrefix":"{0}","service":"{2}","maxAttempts":3,"timeoutMs":5500,"targetLatencyMs":1000,{3}}})",
                           path,
                           host(),
                           pool,
                           kind);
    };
    auto routes = fmt::format("{},{},{},{}",
                              route("/book", "services", R"("kind":"non_idempotent")"),
                              route("/look", "services", R"("kind":"idempotent")"),
                              route("/plan", "engines", R"("kind":"streaming")"),
                              route("/draft", "engines", R"("kind":"streaming","resumable":true)"));
    auto pools = fmt::format(R"({{"name":"services","coldPerS":{0}}},{{"name":"engines","coldPerS":{0},"engine":{1}}})",
                             coldRequestsPerSecond,
                             R"({"kvTokens":40000,"slots":24,"stride":1,"moves":true})");
    this->appendRecord(operatorTopic,
                       "config",
                       fmt::format(R"({{"version":{},"routes":[{}],"services":[{}],"tenants":[{{"name":"team","apiKeys":["{}"]}}]}})",
                                   ++this->configVersion,
                                   routes,
                                   pools,
                                   apiKey()));
}

void Deployment::sleep(Duration length)
{
    std::this_thread::sleep_for(length);
}

void Deployment::pauseProcess(ChildProcess &process, Duration length)
{
    process.signal(SIGSTOP);
    this->sleep(length);
    process.signal(SIGCONT);
}

void Deployment::restartNode(Node &node)
{
    auto stopStartedAt = this->clock.now();
    node.process->signal(SIGTERM);
    node.process->waitForExit();
    if (this->clock.now() - stopStartedAt > seconds(stopGraceSeconds) + stopTolerance) {
        this->checker.recordTimingViolation(
            fmt::format("{} life {}: took {} ms to stop", node.ip, node.incarnation, toMilliseconds(TimePoint(this->clock.now() - stopStartedAt))));
    }
    this->startNode(node);
}

void Deployment::drainAndReplaceUpstream(Upstream &upstream, Duration length)
{
    this->publishUpstream(upstream, true);
    this->checker.recordDrainStart(upstream.id);
    this->sleep(std::max(length, minimumDrainTime));
    this->checker.recordDrainEnd(upstream.id);
    this->appendRecord(upstreamTopic, upstream.id, "");
    upstream.process.reset();
    this->startUpstream(upstream);
}

void Deployment::injectLinkFault(const Fault &fault, Duration length)
{
    auto &link = fault.link == LinkKind::NodeToStore ? *this->storeLink
        : fault.link == LinkKind::CallerToNode       ? *this->nodes[fault.target % this->nodes.size()].callerLink
                                                     : *this->upstreams[fault.target % this->upstreams.size()].link;
    if (fault.kind == FaultKind::ResetLink) {
        link.resetConnections();
        return;
    }
    link.setState(fault.kind == FaultKind::DelayLink ? LinkState::Delayed : fault.kind == FaultKind::SilenceLink ? LinkState::Silent : LinkState::OneWay);
    this->sleep(length);
    link.setState(LinkState::Open);
}

void Deployment::injectFault(const Fault &fault)
{
    auto length = fault.endsAt - fault.startsAt;
    auto &node = this->nodes[fault.target % this->nodes.size()];
    auto &upstream = this->upstreams[fault.target % this->upstreams.size()];
    // A process takes one fault at a time, and further ones are skipped. Faults of links and changes of the configuration may overlap.
    std::unique_lock<std::mutex> nodeLock(*node.faultMutex, std::defer_lock);
    std::unique_lock<std::mutex> upstreamLock(*upstream.faultMutex, std::defer_lock);
    auto isForNode
        = fault.kind == FaultKind::StopNode || fault.kind == FaultKind::ReloadNode || fault.kind == FaultKind::KillNode || fault.kind == FaultKind::PauseNode;
    auto isForUpstream = fault.kind == FaultKind::DrainUpstream || fault.kind == FaultKind::KillUpstream || fault.kind == FaultKind::PauseUpstream;
    if ((isForNode && !nodeLock.try_lock()) || (isForUpstream && !upstreamLock.try_lock())) {
        return;
    }
    auto number = isPlanned(fault.kind) ? 0 : this->checker.recordFaultStart();
    switch (fault.kind) {
    case FaultKind::StopNode:
        this->restartNode(node);
        break;
    case FaultKind::ReloadNode:
        this->writeSettings(node, stopGraceSeconds - 1);
        node.process->signal(SIGHUP);
        break;
    case FaultKind::DrainUpstream:
        this->drainAndReplaceUpstream(upstream, length);
        break;
    case FaultKind::DrainDomain: {
        std::lock_guard<std::mutex> guard(this->domainMutex);
        this->appendRecord(operatorTopic, "evacuate/d1", "1");
        this->sleep(length);
        this->appendRecord(operatorTopic, "evacuate/d1", "");
        break;
    }
    case FaultKind::ChangeConfig:
        this->publishConfig();
        break;
    case FaultKind::KillNode:
        node.process->signal(SIGKILL);
        node.process->waitForExit();
        this->sleep(length);
        this->startNode(node);
        break;
    case FaultKind::PauseNode:
        this->pauseProcess(*node.process, length);
        break;
    case FaultKind::KillUpstream:
        upstream.process->signal(SIGKILL);
        upstream.process->waitForExit();
        this->sleep(length);
        this->startUpstream(upstream);
        break;
    case FaultKind::PauseUpstream:
        this->pauseProcess(*upstream.process, length);
        break;
    case FaultKind::PauseStore: {
        std::lock_guard<std::mutex> guard(this->storeMutex);
        this->pauseProcess(*this->store, length);
        break;
    }
    case FaultKind::RestoreStore: {
        std::lock_guard<std::mutex> guard(this->storeMutex);
        this->restoreStore(length);
        break;
    }
    case FaultKind::DelayLink:
    case FaultKind::ResetLink:
    case FaultKind::SilenceLink:
    case FaultKind::CutLinkOneWay:
        this->injectLinkFault(fault, length);
        break;
    }
    if (!isPlanned(fault.kind)) {
        this->checker.recordFaultEnd(number);
    }
}

}
