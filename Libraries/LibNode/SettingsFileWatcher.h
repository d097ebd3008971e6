#pragma once

#include <LibNode/GatewaySettings.h>

#include <optional>
#include <string>
#include <vector>

namespace Lovageward {

/** Receives changes of the settings of a running node. */
class SettingsListener
{
public:
    virtual ~SettingsListener() = default;

    virtual void settingsChanged(const GatewaySettings &changed) = 0;
    /** The settings file is unreadable or invalid; the current settings remain in effect. */
    virtual void settingsRejected(const std::string &reason) = 0;
};

/**
 * Detects changes of the settings file. The file may change without a signal and may be read while it is being written, so invalid content is
 * reported once and read again after the next change. Not thread-safe.
 */
class SettingsFileWatcher
{
public:
    /** An empty path means that there is no settings file. */
    SettingsFileWatcher(std::string path, std::vector<std::string> arguments, EnvironmentLookup environment, FeatureTranslation translateFeature = {});

    /** Reads the settings when the node starts. Throws Error(InvalidSettings). */
    GatewaySettings readInitial();

    /** Notifies the listener if the file has changed since the last call. */
    void checkForChanges(SettingsListener &listener);

private:
    /** Throws Error(InvalidSettings) if the file can't be read. */
    std::string readFile() const;
    /** Returns the content of the file if it has changed. Reports a file that can't be read once. */
    std::optional<std::string> readChangedText(SettingsListener &listener);

    std::string path;
    std::vector<std::string> arguments;
    EnvironmentLookup environment;
    FeatureTranslation translateFeature;
    /** Content of the file at the last read. */
    std::string lastText;
    /** True if the listener has been notified that the file can't be read. */
    bool isReadFailureReported = false;
};

/** Names of the settings that differ and that can't be applied without a restart. */
std::vector<std::string> settingsThatNeedRestart(const GatewaySettings &current, const GatewaySettings &changed);

}
