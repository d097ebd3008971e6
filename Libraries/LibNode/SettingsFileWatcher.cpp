#include <LibNode/SettingsFileWatcher.h>

#include <LibCore/Error.h>

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace Lovageward {

SettingsFileWatcher::SettingsFileWatcher(std::string path,
                                         std::vector<std::string> arguments,
                                         EnvironmentLookup environment,
                                         FeatureTranslation translateFeature)
    : path(std::move(path)), arguments(std::move(arguments)), environment(std::move(environment)), translateFeature(std::move(translateFeature))
{
}

GatewaySettings SettingsFileWatcher::readInitial()
{
    this->lastText = this->readFile();
    return readGatewaySettings(this->lastText, this->arguments, this->environment, this->translateFeature);
}

void SettingsFileWatcher::checkForChanges(SettingsListener &listener)
{
    auto text = this->readChangedText(listener);
    if (!text) {
        return;
    }
    this->lastText = *text;
    try {
        listener.settingsChanged(readGatewaySettings(*text, this->arguments, this->environment, this->translateFeature));
    } catch (const Error &error) {
        listener.settingsRejected(error.what());
    }
}

std::optional<std::string> SettingsFileWatcher::readChangedText(SettingsListener &listener)
{
    try {
        auto text = this->readFile();
        this->isReadFailureReported = false;
        return text == this->lastText ? std::nullopt : std::optional(text);
    } catch (const Error &error) {
        if (!std::exchange(this->isReadFailureReported, true)) {
            listener.settingsRejected(error.what());
        }
        return std::nullopt;
    }
}

std::string SettingsFileWatcher::readFile() const
{
    if (this->path.empty()) {
        return {};
    }
    std::ifstream file(this->path);
    if (!file) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, fmt::format("the settings file {} can't be read", this->path));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> settingsThatNeedRestart(const GatewaySettings &current, const GatewaySettings &changed)
{
    std::vector<std::string> names;
    auto compare = [&names](const char *name, const auto &before, const auto &after) {
        if (before != after) {
            names.emplace_back(name);
        }
    };
    compare("host", current.host, changed.host);
    compare("region", current.location.region, changed.location.region);
    compare("failure-domain", current.location.failureDomain, changed.location.failureDomain);
    compare("domains", current.location.regions, changed.location.regions);
    compare("listen", current.listenAddress, changed.listenAddress);
    compare("ready-listen", current.readinessListenAddress, changed.readinessListenAddress);
    compare("ready-path", current.readinessPath, changed.readinessPath);
    compare("control-listen", current.controlListenAddress, changed.controlListenAddress);
    compare("peer-listen", current.peerListenAddress, changed.peerListenAddress);
    compare("store", current.storeAddress, changed.storeAddress);
    compare("retry-ratio", current.retryBudgetLimits.ratio, changed.retryBudgetLimits.ratio);
    compare("retry-slack", current.retryBudgetLimits.slack, changed.retryBudgetLimits.slack);
    compare("retry-window-seconds", current.retryBudgetLimits.window, changed.retryBudgetLimits.window);
    compare("memory-megabytes or descriptors", current.maximumConnections, changed.maximumConnections);
    compare("memory-megabytes", current.memoryLimits.totalBytes, changed.memoryLimits.totalBytes);
    compare("read-ahead-bytes", current.connectionLimits.readAheadBytes, changed.connectionLimits.readAheadBytes);
    compare("body-bytes-per-second", current.connectionLimits.bodyRate.bytesPerSecond, changed.connectionLimits.bodyRate.bytesPerSecond);
    compare("body-rate-seconds", current.connectionLimits.bodyRate.window, changed.connectionLimits.bodyRate.window);
    compare("memory-wait-ms", current.connectionLimits.memoryWait, changed.connectionLimits.memoryWait);
    compare("standby-fill", current.standbyUtilizationLimit, changed.standbyUtilizationLimit);
    compare("reported-load or platform-features", current.usesReportedLoadOfAllPools, changed.usesReportedLoadOfAllPools);
    compare("wait-order", current.waitOrder, changed.waitOrder);
    compare("response limits", current.responseLimits, changed.responseLimits);
    compare("log-lines", current.logLinesPerSecond, changed.logLinesPerSecond);
    return names;
}

}
