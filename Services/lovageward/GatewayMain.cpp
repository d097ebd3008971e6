#include "GatewayMain.h"

#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibNode/GatewayNode.h>
#include <platform/PlatformDecoder.h>
#include <platform/PlatformProtocol.h>
#include <platform/PlatformStore.h>

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <pthread.h>
#include <sstream>

namespace Lovageward {

namespace {

/** The settings file is compared so often, because it may change without a signal. */
constexpr time_t settingsCheckSeconds = 1;

std::string readSettingsFile()
{
    const auto *path = std::getenv("LOVAGEWARD_CONFIG");
    if (path == nullptr) {
        return {};
    }
    std::ifstream file(path);
    if (!file) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, fmt::format("the settings file {} can't be read", path));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

GatewaySettings settingsOf(const std::string &file, const std::vector<std::string> &arguments)
{
    return readGatewaySettings(file, arguments, [](const std::string &name) { return std::getenv(name.c_str()); });
}

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void reloadIfChanged(GatewayNode &node, std::string &file, const std::vector<std::string> &arguments)
{
    try {
        auto current = readSettingsFile();
        if (current != file) {
            node.reload(settingsOf(current, arguments));
            file = std::move(current);
        }
    } catch (const Error &error) {
        // The file may be read while it is written; the node goes on with what it has.
        fmt::print(stderr, "gateway: the changed settings are not used: {}\n", error.what());
    }
}

/** Returns when the process is told to stop. */
void waitForStop(const sigset_t &signals, GatewayNode &node, std::string &file, const std::vector<std::string> &arguments)
{
    while (true) {
        timespec pause { settingsCheckSeconds, 0 };
        auto received = sigtimedwait(&signals, nullptr, &pause);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        reloadIfChanged(node, file, arguments);
    }
}

}

int runGateway(const std::vector<std::string> &arguments, bool isCheckOnly)
{
    auto file = readSettingsFile();
    auto settings = settingsOf(file, arguments);
    if (isCheckOnly) {
        fmt::print("The settings are valid.\n");
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto signals = blockSignals();
    SystemClock clock;
    PlatformProtocol protocol;
    PlatformDecoder decoder;
    PlatformStore operatorStore(clock, settings.store);
    PlatformStore upstreamStore(clock, settings.store);
    PlatformStore directoryStore(clock, settings.store);
    GatewayNode node(settings, { protocol, decoder, operatorStore, upstreamStore, directoryStore });
    node.start();
    waitForStop(signals, node, file, arguments);
    node.stop();
    // Connections that are idle or whose request was cut still have threads. Nothing is kept on disk, so the process ends without waiting for them.
    std::fflush(nullptr);
    std::_Exit(0);
}

}
