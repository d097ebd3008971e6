#include "EngineRole.h"
#include "PlatformRole.h"
#include "ServiceRole.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <sstream>

using namespace Lovageward;
using namespace Lovageward::StandIns;

namespace {

std::string readFile(const std::string &path)
{
    if (path.empty()) {
        return "[]";
    }
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::unique_ptr<Role> makeRole(const cxxopts::ParseResult &options)
{
    auto name = options["role"].as<std::string>();
    if (name == "platform") {
        auto retention = seconds(options["retention-seconds"].as<int>());
        auto hosts = readFile(options["hosts-file"].as<std::string>());
        return std::make_unique<PlatformRole>(options["appends-per-second"].as<double>(), options["loads-per-minute"].as<double>(), retention, hosts);
    }
    if (name == "engine") {
        EngineSettings settings;
        settings.firstTokenDelay = milliseconds(options["first-token-ms"].as<int>());
        settings.tokenGap = milliseconds(options["gap-ms"].as<int>());
        settings.startsCold = options["cold"].as<bool>();
        return std::make_unique<EngineRole>(settings);
    }
    if (name == "service") {
        return std::make_unique<ServiceRole>();
    }
    throw std::runtime_error("--role must be platform, engine or service");
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("lovageward-standin", "Simulates an external system in tests and demos.");
    auto add = options.add_options();
    add("role", "platform, engine or service", cxxopts::value<std::string>());
    add("listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("hosts-file", "JSON file with the host list", cxxopts::value<std::string>()->default_value(""));
    add("appends-per-second", "maximum rate of appends to the log", cxxopts::value<double>()->default_value("300"));
    add("loads-per-minute", "maximum rate of loads from the weight store", cxxopts::value<double>()->default_value("12"));
    add("retention-seconds", "retention of the log in seconds", cxxopts::value<int>()->default_value("3600"));
    add("first-token-ms", "delay of the first token in milliseconds", cxxopts::value<int>()->default_value("50"));
    add("gap-ms", "time between tokens in milliseconds", cxxopts::value<int>()->default_value("20"));
    add("cold", "report the engine as cold from the start", cxxopts::value<bool>()->default_value("false"));
    try {
        auto parsed = options.parse(argc, argv);
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        auto role = makeRole(parsed);
        StandInServer server(*role, parsed["listen"].as<std::string>());
        fmt::print("{}\n", server.port());
        std::fflush(stdout);
        int received = 0;
        sigwait(&signals, &received);
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin: {}\n", error.what());
        return 2;
    }
    // An orderly shutdown would wait for connections that an injected fault keeps silent.
    std::_Exit(0);
}
