#include "GatewayMain.h"

#include <LibCore/Error.h>
#include <LibNode/MemoryBudget.h>
#include <LibNode/Node.h>

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <pthread.h>

using namespace Lovageward;

namespace {

constexpr int exitInvalidSettings = 2;
constexpr int exitFailure = 1;

bool takeFlag(std::vector<std::string> &arguments, const std::string &flag)
{
    return std::erase(arguments, flag) > 0;
}

/** Blocks SIGTERM and SIGINT in this thread and in threads that it starts later, so that only waitForStopSignal() receives them. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForStopSignal(const sigset_t &signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

int runNode(const NodeSettings &settings)
{
    // A write to a connection that the caller has closed must fail with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    limitAllocator();
    auto signals = blockStopSignals();
    Node node(settings);
    node.start();
    waitForStopSignal(signals);
    node.stop();
    return 0;
}

}

int main(int argc, char **argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (takeFlag(arguments, "--help")) {
        fmt::print("lovageward serves generations and service calls. Settings:\n{}", SettingsReader(nodeSettingDefinitions()).helpText());
        return 0;
    }
    if (takeFlag(arguments, "--version")) {
        fmt::print("lovageward {}\n", LOVAGEWARD_VERSION);
        return 0;
    }
    auto isCheckOnly = takeFlag(arguments, "--check-settings");
    try {
        if (takeFlag(arguments, "gateway")) {
            return runGateway(arguments, isCheckOnly);
        }
        auto settings = readNodeSettings(arguments, [](const std::string &name) { return std::getenv(name.c_str()); });
        if (isCheckOnly) {
            fmt::print("The settings are valid.\n");
            return 0;
        }
        return runNode(settings);
    } catch (const Error &error) {
        fmt::print(stderr, "node: {}: {}\n", resultName(error.code()), error.what());
        return error.code() == ResultCode::InvalidSettings ? exitInvalidSettings : exitFailure;
    } catch (const std::exception &error) {
        fmt::print(stderr, "node: {}\n", error.what());
        return exitFailure;
    }
}
