#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Logger.h>
#include <LibCore/MemoryAccount.h>
#include <LibCore/Time.h>
#include <LibNode/SettingsReader.h>

#include <string>
#include <vector>

namespace Lovageward {

/** Validated settings of a node. docs/settings.md describes them. */
struct NodeSettings
{
    /** "IP:port" of the caller API. */
    std::string listenAddress;
    /** "IP:port" of the administration API. */
    std::string administrationListenAddress;
    /** "IP:port" of the peer socket. */
    std::string peerListenAddress;
    HostId host;
    RegionId region;
    FailureDomainId failureDomain;
    /** "IP:port" of the platform; empty in embedded mode. */
    std::string platformAddress;
    /** JSON file with the host list in embedded mode. */
    std::string hostsFile;
    LogLevel logLevel = LogLevel::Info;
    /** Shared secret that authenticates resume tokens. */
    std::string resumeKey;
    /** "role:sha256" of each administration key, with the digest in hexadecimal. */
    std::vector<std::string> administrationKeys;
    Duration shutdownTimeout = Duration(0);
    Duration tokenGapLimit = Duration(0);
    double linkBytesPerSecond = 0;
    std::uint64_t maximumBodyBytes = 0;
    std::uint32_t maximumConnections = 0;
    std::uint32_t digestFanOut = 0;
    MemoryLimits memoryLimits;
    std::size_t maximumJsonValues = 0;

    bool isEmbedded() const
    {
        return this->platformAddress.empty();
    }
};

/** Definitions of all settings of a node. */
std::vector<SettingDefinition> nodeSettingDefinitions();

/** Throws Error(InvalidSettings) if a setting is invalid or if settings contradict each other. */
NodeSettings readNodeSettings(const std::vector<std::string> &arguments, const EnvironmentLookup &environment);

}
