#include "GatewayMain.h"

#include <LibCore/SystemClock.h>
#include <LibNode/GatewayNode.h>
#include <LibNode/MemoryBudget.h>
#include <LibNode/SettingsFileWatcher.h>
#include <platform/PlatformDecoder.h>
#include <platform/PlatformFeatures.h>
#include <platform/PlatformProtocol.h>
#include <platform/PlatformStore.h>

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <pthread.h>

namespace Lovageward {

namespace {

/** Interval between checks of the settings file, which may change without a signal. */
constexpr time_t settingsCheckIntervalSeconds = 1;

SettingsFileWatcher makeSettingsWatcher(const std::vector<std::string> &arguments)
{
    const auto *path = std::getenv("LOVAGEWARD_CONFIG");
    return { path == nullptr ? "" : path, arguments, [](const std::string &name) { return std::getenv(name.c_str()); }, translatePlatformFeature };
}

sigset_t blockHandledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/** Waits for SIGTERM or SIGINT and meanwhile checks the settings file, also on SIGHUP. */
void waitForStopSignal(const sigset_t &signals, GatewayNode &node, SettingsFileWatcher &settings)
{
    while (true) {
        timespec pause { settingsCheckIntervalSeconds, 0 };
        auto received = sigtimedwait(&signals, nullptr, &pause);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        settings.checkForChanges(node);
    }
}

}

int runGateway(const std::vector<std::string> &arguments, bool isCheckOnly)
{
    auto watcher = makeSettingsWatcher(arguments);
    auto settings = watcher.readInitial();
    if (isCheckOnly) {
        fmt::print("The settings are valid.\n");
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    limitAllocator();
    auto signals = blockHandledSignals();
    SystemClock clock;
    PlatformProtocol protocol;
    PlatformDecoder decoder;
    PlatformStore operatorStore(clock, settings.storeAddress);
    PlatformStore upstreamStore(clock, settings.storeAddress);
    PlatformStore directoryStore(clock, settings.storeAddress);
    PlatformStore statusStore(clock, settings.storeAddress);
    PlatformStore statusBoard(clock, settings.storeAddress);
    GatewayNode node(settings, { protocol, decoder, operatorStore, upstreamStore, directoryStore, statusStore, statusBoard });
    node.start();
    waitForStopSignal(signals, node, watcher);
    node.stop();
    // Idle connections and those with an unfinished request still have threads. The process stores no data on disk, so it exits without joining them.
    std::fflush(nullptr);
    std::_Exit(0);
}

}
