#include "NodeProcess.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace Lovageward::Clients {

namespace {

constexpr auto startTimeout = std::chrono::seconds(20);
constexpr auto retryInterval = std::chrono::milliseconds(100);
constexpr long requestTimeoutSeconds = 10;
constexpr const char *operatorKey = "operator-key-of-the-test";
/** SHA-256 of the operator's key. */
constexpr const char *operatorKeyDigest = "e4020640bec85d409c12d60d7d1162429afcbe4248c47b9f7dced9c5673f5772";

/** Repeats the request on new connections until it is answered with 200 or `patience` has passed. */
bool isAnswered(const std::string &ip, int port, Poco::Net::HTTPRequest &request, const std::string &body, std::chrono::milliseconds patience)
{
    auto giveUpAt = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < giveUpAt) {
        try {
            Poco::Net::HTTPClientSession session(ip, static_cast<Poco::UInt16>(port));
            session.setTimeout(Poco::Timespan(requestTimeoutSeconds, 0));
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
            session.sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            session.receiveResponse(response);
            if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
                return true;
            }
        } catch (const Poco::Exception &) {
            // Refused or closed: the client tries again.
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return false;
}

}

NodeProcess::NodeProcess(const std::vector<std::string> &settings)
    : nodeIp(fmt::format("127.{}.{}.2", 100 + ::getpid() / 250 % 100, ::getpid() % 250))
    , hostsPath((std::filesystem::temp_directory_path() / fmt::format("lovageward-clients-{}.hosts", ::getpid())).string())
{
    auto portPromise = std::make_shared<std::promise<std::string>>();
    auto port = portPromise->get_future();
    this->service = std::make_unique<Soak::ChildProcess>(std::vector<std::string> { SERVICE_PROGRAM, "--role", "service" },
                                                         [portPromise](const std::string &line) { portPromise->set_value(line); });
    if (port.wait_for(startTimeout) != std::future_status::ready) {
        throw std::runtime_error("the service did not print its port");
    }
    std::ofstream(this->hostsPath) << fmt::format(
        R"([{{"host":"service-1","kind":"upstream","pool":"shop","region":"local","failureDomain":"local-a","address":"127.0.0.1:{}","state":"live"}}])",
        port.get());
    std::vector<std::string> command { NODE_PROGRAM,
                                       "--listen",
                                       fmt::format("{}:{}", this->nodeIp, nodeCallerPort),
                                       "--admin-listen",
                                       fmt::format("{}:{}", this->nodeIp, nodeAdministrationPort),
                                       "--peer-listen",
                                       this->nodeIp + ":8492",
                                       "--hosts-file",
                                       this->hostsPath,
                                       "--admin-keys",
                                       fmt::format("operator:{}", operatorKeyDigest) };
    command.insert(command.end(), settings.begin(), settings.end());
    this->node = std::make_unique<MeasuredProcess>(command, this->nodeIp);
    this->configure();
}

NodeProcess::~NodeProcess()
{
    std::filesystem::remove(this->hostsPath);
}

std::string NodeProcess::control(const std::vector<std::string> &arguments) const
{
    std::vector<std::string> command { "/usr/bin/env",
                                       fmt::format("LOVAGEWARD_ADMIN={}:{}", this->nodeIp, nodeAdministrationPort),
                                       fmt::format("LOVAGEWARD_KEY={}", operatorKey),
                                       CONTROL_PROGRAM };
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::string output;
    Soak::ChildProcess process(command, [&output](const std::string &line) { output += line + "\n"; });
    process.waitForExit();
    return output;
}

void NodeProcess::configure()
{
    if (!this->isOperatorAnswered(startTimeout)) {
        throw std::runtime_error("the node did not start");
    }
    this->control({ "pool", "set", "shop" });
    this->control(
        { "class", "set", "lookup", "--kind", "service", "--pool", "shop", "--operation", "lookup", "--target", "completion", "--target-ms", "5000" });
    this->control({ "team", "set", "callers", "--max-concurrent", "64" });
    auto output = this->control({ "team", "rotate-key", "callers", "--json" });
    static const std::string field = "\"key\"";
    auto begin = output.find('"', output.find(':', output.find(field)));
    if (output.find(field) == std::string::npos || begin == std::string::npos) {
        throw std::runtime_error("no key for the team: " + output);
    }
    this->teamKey = output.substr(begin + 1, output.find('"', begin + 1) - begin - 1);
    if (!this->isOrdinaryRequestServed(startTimeout)) {
        throw std::runtime_error("the node did not become ready");
    }
}

bool NodeProcess::isOrdinaryRequestServed(std::chrono::milliseconds patience) const
{
    Poco::Net::HTTPRequest request("POST", "/v1/services/lookup", Poco::Net::HTTPRequest::HTTP_1_1);
    request.set("Authorization", "Bearer " + this->teamKey);
    return isAnswered(this->nodeIp, nodeCallerPort, request, "{}", patience);
}

bool NodeProcess::isOperatorAnswered(std::chrono::milliseconds patience) const
{
    Poco::Net::HTTPRequest request("GET", "/admin/v1/status", Poco::Net::HTTPRequest::HTTP_1_1);
    request.set("Authorization", fmt::format("Bearer {}", operatorKey));
    return isAnswered(this->nodeIp, nodeAdministrationPort, request, {}, patience);
}

}
