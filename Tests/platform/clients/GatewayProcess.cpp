#include "GatewayProcess.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace Lovageward::Clients {

namespace {

constexpr auto startTimeout = std::chrono::seconds(20);
constexpr auto retryInterval = std::chrono::milliseconds(20);
constexpr long requestTimeoutSeconds = 5;
constexpr std::size_t upstreamCount = 2;

std::string bigEndian32(std::size_t number)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xFFU);
    }
    return text;
}

/** Sends a request and returns the body of the response, whose status is written to `status`. Throws Poco::Exception if there is none. */
std::string call(const std::string &address, const std::string &method, const std::string &target, const std::string &body, int &status)
{
    Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
    session.setTimeout(Poco::Timespan(requestTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request(method, target);
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    auto &input = session.receiveResponse(response);
    status = static_cast<int>(response.getStatus());
    return { std::istreambuf_iterator<char>(input), {} };
}

std::string gatewayConfig()
{
    auto route = [](const std::string &path, const std::string &pool, const std::string &kind) {
        return fmt::format(R"({{"name":"r{0}","host":"clients.example","pathPrefix":"{0}","service":"{1}","maxAttempts":3,"timeoutMs":8000,)"
                           R"("targetLatencyMs":4000,"kind":"{2}"}})",
                           path,
                           pool,
                           kind);
    };
    return fmt::format(R"({{"version":1,"routes":[{},{}],"services":[{{"name":"services"}},{{"name":"engines","engine":{}}}],)"
                       R"("tenants":[{{"name":"team","apiKeys":["key-of-the-team"]}}]}})",
                       route("/look", "services", "idempotent"),
                       route("/plan", "engines", "streaming"),
                       R"({"kvTokens":400000,"slots":200,"stride":1})");
}

}

GatewayProcess::GatewayProcess(const GatewayLimits &limits)
    : nodeIp(fmt::format("127.{}.{}.1", 100 + ::getpid() / 250 % 100, ::getpid() % 250))
    , settingsPath((std::filesystem::temp_directory_path() / fmt::format("lovageward-clients-{}.settings", ::getpid())).string())
{
    int port = 0;
    this->store = this->startStandIn({ "store" }, port);
    this->storeAddress = fmt::format("127.0.0.1:{}", port);
    this->publish("keyed.op", "config", gatewayConfig());
    for (std::size_t index = 0; index < upstreamCount; ++index) {
        auto id = fmt::format("u{}", index);
        this->upstreams.push_back(this->startStandIn({ "upstream", "--id", id }, port));
        this->publish("keyed.servers",
                      id,
                      fmt::format(R"({{"service":"{}","address":"127.0.0.1:{}","zone":"d0","version":"v1","slots":200,"state":"ready","born":1,)"
                                  R"("coldLeftMs":0,"sequence":1}})",
                                  index == 0 ? "services" : "engines",
                                  port));
    }
    this->writeSettings(limits);
    std::vector<std::string> command { "/usr/bin/env", "LOVAGEWARD_CONFIG=" + this->settingsPath, GATEWAY_PROGRAM, "gateway" };
    this->gateway = std::make_unique<MeasuredProcess>(command, this->nodeIp);
    this->awaitReadiness();
    std::filesystem::remove(this->settingsPath);
}

std::unique_ptr<Soak::ChildProcess> GatewayProcess::startStandIn(const std::vector<std::string> &arguments, int &port) const
{
    auto portPromise = std::make_shared<std::promise<int>>();
    auto portFuture = portPromise->get_future();
    std::vector<std::string> command { STAND_IN_PROGRAM };
    command.insert(command.end(), arguments.begin(), arguments.end());
    auto process = std::make_unique<Soak::ChildProcess>(command, [portPromise](const std::string &line) {
        if (line.starts_with("port ")) {
            portPromise->set_value(std::stoi(line.substr(line.find(' '))));
        }
    });
    if (portFuture.wait_for(startTimeout) != std::future_status::ready) {
        throw std::runtime_error("a stand-in did not print its port");
    }
    port = portFuture.get();
    return process;
}

void GatewayProcess::publish(const std::string &topic, const std::string &key, const std::string &value) const
{
    auto content = std::string(1, static_cast<char>(key.size())) + key + value;
    int status = 0;
    call(this->storeAddress, "POST", "/-/log-append?topic=" + topic + "&part=0", bigEndian32(content.size()) + content, status);
}

void GatewayProcess::writeSettings(const GatewayLimits &limits) const
{
    std::ofstream file(this->settingsPath);
    file << fmt::format("host = clients\nregion = r\nfailure-domain = d0\ndomains = d0:r\nlisten = {0}:8480\nready-listen = {0}:{1}\n"
                        "control-listen = {0}:{2}\npeer-listen = {0}:7200\nseeds = {0}:7200\nstore = {3}\ngrace-seconds = 2\nready-path = /ready\n"
                        "memory-megabytes = {4}\ndescriptors = {5}\n",
                        this->nodeIp,
                        gatewayReadinessPort,
                        gatewayControlPort,
                        this->storeAddress,
                        limits.memoryMegabytes,
                        limits.descriptors);
}

void GatewayProcess::awaitReadiness() const
{
    auto giveUpAt = std::chrono::steady_clock::now() + startTimeout;
    while (std::chrono::steady_clock::now() < giveUpAt) {
        try {
            int status = 0;
            call(fmt::format("{}:{}", this->nodeIp, gatewayReadinessPort), "GET", "/ready", {}, status);
            if (status == Poco::Net::HTTPResponse::HTTP_OK) {
                return;
            }
        } catch (const Poco::Exception &) {
            // The gateway isn't listening yet.
        }
        std::this_thread::sleep_for(retryInterval);
    }
    throw std::runtime_error("the gateway did not become ready");
}

std::string GatewayProcess::metrics() const
{
    try {
        int status = 0;
        return call(fmt::format("{}:{}", this->nodeIp, gatewayControlPort), "GET", "/metrics", {}, status);
    } catch (const Poco::Exception &error) {
        return "no metrics: " + error.displayText();
    }
}

}
