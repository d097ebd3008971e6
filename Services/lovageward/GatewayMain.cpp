#include "GatewayMain.h"

#include <LibCore/SystemClock.h>
#include <LibNode/GatewayNode.h>
#include <LibNode/SettingsWatch.h>
#include <platform/PlatformDecoder.h>
#include <platform/PlatformProtocol.h>
#include <platform/PlatformStore.h>

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <pthread.h>

namespace Lovageward {

namespace {

/** The settings file is compared so often, because it may change without a signal. */
constexpr time_t settingsCheckSeconds = 1;

SettingsWatch watchSettings(const std::vector<std::string> &arguments)
{
    const auto *path = std::getenv("LOVAGEWARD_CONFIG");
    return { path == nullptr ? "" : path, arguments, [](const std::string &name) { return std::getenv(name.c_str()); } };
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

/** Returns when the process is told to stop. */
void waitForStop(const sigset_t &signals, GatewayNode &node, SettingsWatch &settings)
{
    while (true) {
        timespec pause { settingsCheckSeconds, 0 };
        auto received = sigtimedwait(&signals, nullptr, &pause);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        settings.check(node);
    }
}

}

int runGateway(const std::vector<std::string> &arguments, bool isCheckOnly)
{
    auto watch = watchSettings(arguments);
    auto settings = watch.readFirst();
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
    waitForStop(signals, node, watch);
    node.stop();
    // Connections that are idle or whose request was cut still have threads. Nothing is kept on disk, so the process ends without waiting for them.
    std::fflush(nullptr);
    std::_Exit(0);
}

}
