#include "Fleet.h"

#include <LibHttp/SimpleHttp.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StreamCopier.h>

#include <fmt/format.h>

#include <sstream>
#include <stdexcept>
#include <thread>

namespace Lovageward::Fleet {

namespace {

const std::string operatorKey = "bench-operator-key";

std::string sha256(const std::string &text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string localAddress(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

constexpr auto httpTimeout = seconds(8);

struct Location
{
    std::string region;
    std::string failureDomain;
};

const std::vector<Location> locations = { { "marmara", "marmara-a" }, { "marmara", "marmara-b" }, { "ege", "ege-a" } };

}

Fleet::Fleet(std::string buildFolder, std::uint16_t firstPort, std::size_t nodeCount) : buildFolder(std::move(buildFolder))
{
    for (std::size_t index = 0; index < nodeCount; ++index) {
        const auto &site = locations[index % locations.size()];
        NodeProcess node;
        node.name = fmt::format("node-{}", index);
        node.region = site.region;
        node.failureDomain = site.failureDomain;
        node.callerPort = static_cast<std::uint16_t>(firstPort + 3 * index);
        node.administrationPort = static_cast<std::uint16_t>(node.callerPort + 1);
        node.peerPort = static_cast<std::uint16_t>(node.callerPort + 2);
        this->nodes.push_back(std::move(node));
    }
}

void Fleet::start()
{
    auto standIn = this->buildFolder + "/Benchmarks/StandIns/lovageward-standin";
    auto addUpstream = [&](const std::string &name, const std::string &pool, const Location &site, const std::vector<std::string> &arguments) {
        UpstreamProcess upstream { name, pool, site.region, site.failureDomain, std::make_unique<FleetProcess>(standIn, arguments, true) };
        this->upstreams.push_back(std::move(upstream));
    };
    constexpr int enginesPerSite = 2;
    for (const auto &site : locations) {
        for (int number = 0; number < enginesPerSite; ++number) {
            addUpstream(fmt::format("writer-{}-{}", site.failureDomain, number), "kare-writer", site, { "--role", "engine", "--gap-ms", "20" });
        }
        addUpstream(fmt::format("app-{}", site.failureDomain), "randevu-app", site, { "--role", "service" });
    }
    this->platform = std::make_unique<FleetProcess>(standIn, std::vector<std::string> { "--role", "platform", "--appends-per-second", "300" }, true);
    this->put(this->platform->port(), "/hosts", this->buildHostList());
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        this->startNode(index);
    }
}

void Fleet::startNode(std::size_t index)
{
    auto &node = this->nodes.at(index);
    std::vector<std::string> arguments = { "--listen",         localAddress(node.callerPort),
                                           "--admin-listen",   localAddress(node.administrationPort),
                                           "--peer-listen",    localAddress(node.peerPort),
                                           "--host",           node.name,
                                           "--region",         node.region,
                                           "--failure-domain", node.failureDomain,
                                           "--platform",       localAddress(this->platform->port()),
                                           "--resume-key",     "bench-resume-key-bench-resume-key",
                                           "--gap-seconds",    "2",
                                           "--admin-keys",     "operator:" + sha256(operatorKey),
                                           "--log-level",      "error" };
    node.process = std::make_unique<FleetProcess>(this->buildFolder + "/Services/lovageward/lovageward", arguments, false);
}

void Fleet::configure()
{
    auto create = [&](const std::string &path, const std::string &body) {
        std::string answer;
        for (int attempt = 0; attempt < 100; ++attempt) {
            if (this->sendAdminRequest(0, "PUT", path + "?basedOn=0", body, answer) == 200) {
                return;
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
        throw std::runtime_error("configuration of " + path + " failed: " + answer);
    };
    create("models/kare-13b", R"({"version":"1"})");
    create("pools/kare-writer", R"({"models":["kare-13b"]})");
    create("pools/randevu-app", "{}");
    create("classes/story", R"({"kind":"generation","model":"kare-13b","target":"completion","targetTimeMs":60000})");
    create("classes/deposit", R"({"kind":"service","pool":"randevu-app","operation":"deposit","repeatable":false})");
    create("teams/studio", fmt::format(R"({{"keyHashes":["{}"],"maximumConcurrent":1000}})", sha256(teamKey)));
    this->waitUntilReady();
}

void Fleet::waitUntilReady() const
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        for (int attempt = 0; !this->isReady(index); ++attempt) {
            if (attempt > 150) {
                throw std::runtime_error(this->nodes[index].name + " did not become ready");
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
    }
}

bool Fleet::isReady(std::size_t node) const
{
    return this->fetch(this->nodes.at(node).callerPort, "/readyz").find("ready") == 0;
}

int Fleet::sendAdminRequest(std::size_t node, const std::string &method, const std::string &path, const std::string &body, std::string &answer) const
{
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", this->nodes.at(node).administrationPort);
        session.setTimeout(Poco::Timespan(Duration(httpTimeout).count()));
        Poco::Net::HTTPRequest request(method, "/admin/v1/" + path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + operatorKey);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        answer.clear();
        Poco::StreamCopier::copyToString(stream, answer);
        return response.getStatus();
    } catch (const Poco::Exception &error) {
        answer = error.displayText();
        return 0;
    }
}

std::string Fleet::fetch(std::uint16_t port, const std::string &path) const
{
    try {
        return exchange(this->clock, localAddress(port), "GET", path, "", this->clock.now() + httpTimeout).body;
    } catch (const Poco::Exception &) {
        return {};
    }
}

void Fleet::put(std::uint16_t port, const std::string &path, const std::string &body) const
{
    exchange(this->clock, localAddress(port), "PUT", path, body, this->clock.now() + httpTimeout);
}

double Fleet::fetchMetricSum(std::size_t node, const std::string &prefix) const
{
    std::istringstream lines(this->fetch(this->nodes.at(node).callerPort, "/metrics"));
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        auto space = line.rfind(' ');
        if (line.rfind(prefix, 0) == 0 && space != std::string::npos) {
            sum += std::stod(line.substr(space + 1));
        }
    }
    return sum;
}

double Fleet::fetchNumber(std::uint16_t port, const std::string &path, const std::string &field) const
{
    try {
        Poco::JSON::Parser parser;
        auto object = parser.parse(this->fetch(port, path)).extract<Poco::JSON::Object::Ptr>();
        return object->getValue<double>(field);
    } catch (const Poco::Exception &) {
        return 0;
    }
}

std::string Fleet::buildHostList() const
{
    std::string rows;
    auto add = [&](const std::string &row) { rows += rows.empty() ? row : ",\n" + row; };
    for (const auto &node : this->nodes) {
        add(fmt::format(R"({{"host":"{}","kind":"entry","region":"{}","failureDomain":"{}","address":"{}","peerAddress":"tcp://{}","state":"live"}})",
                        node.name,
                        node.region,
                        node.failureDomain,
                        localAddress(node.callerPort),
                        localAddress(node.peerPort)));
    }
    for (const auto &upstream : this->upstreams) {
        add(fmt::format(R"({{"host":"{}","kind":"upstream","pool":"{}","region":"{}","failureDomain":"{}","address":"{}","state":"live"}})",
                        upstream.name,
                        upstream.pool,
                        upstream.region,
                        upstream.failureDomain,
                        localAddress(upstream.process->port())));
    }
    return "[" + rows + "]";
}

}
