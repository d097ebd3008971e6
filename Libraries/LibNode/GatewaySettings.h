#pragma once

#include <LibCore/Ids.h>
#include <LibCore/MemoryAccount.h>
#include <LibCore/Time.h>
#include <LibForward/CallerChannel.h>
#include <LibForward/ResponseLimits.h>
#include <LibGateway/PoolRetryBudgets.h>
#include <LibGateway/RolloutExposure.h>
#include <LibGateway/UpstreamPicker.h>
#include <LibGateway/WaitOrder.h>
#include <LibNode/SettingsReader.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lovageward {

/** Validated settings of a gateway. docs/settings.md describes them. */
struct GatewaySettings
{
    HostId host;
    NodeLocation location;
    /** "IP:port" on which callers connect. */
    std::string listenAddress;
    /** "IP:port" and path of the load balancer's readiness check. */
    std::string readinessListenAddress;
    std::string readinessPath;
    /** "IP:port" that serves metrics to operators and feed pages to peers. */
    std::string controlListenAddress;
    /** "IP:port" on which datagrams from other nodes arrive. */
    std::string peerListenAddress;
    /** "IP:port" of the peer sockets of some hosts, from which the others are discovered. */
    std::vector<std::string> seedAddresses;
    /** "IP:port" of the platform's store. */
    std::string storeAddress;
    /** Time between the stop signal and the end of the process. */
    Duration gracePeriod = Duration(0);
    RetryBudgetLimits retryBudgetLimits;
    ResponseLimits responseLimits;
    /** Utilization of an engine, from 0 to 1, up to which it takes standby copies; 0 for none. See UpstreamPicker. */
    double standbyUtilizationLimit = 0;
    /** The load that upstreams report takes effect for all pools, not only for those that report how long work takes. */
    bool usesReportedLoadOfAllPools = false;
    /** Absent if roll-outs are disabled. */
    std::optional<RolloutLimits> rolloutLimits;
    /** Absent if the setting isn't given, which means WaitOrder::Arrival unless a feature of the platform selects another order. */
    std::optional<WaitOrder> waitOrder;
    int maximumConnections = 0;
    MemoryLimits memoryLimits;
    ConnectionLimits connectionLimits;
    double logLinesPerSecond = 0;
};

/** A setting and the value that applies unless the setting itself is given. */
struct SettingDefault
{
    std::string name;
    std::string value;
};

/** Returns the settings that a feature of the platform selects; none for an unknown feature. */
using FeatureTranslation = std::function<std::vector<SettingDefault>(const std::string &feature)>;

std::vector<SettingDefinition> gatewaySettingDefinitions();

/**
 * `file` is the text of the settings file, empty if there is none. `translateFeature` is applied to each name in the setting "platform-features"; without
 * it that setting has no effect. Throws Error(InvalidSettings) that lists every invalid setting.
 */
GatewaySettings readGatewaySettings(const std::string &file,
                                    const std::vector<std::string> &arguments,
                                    const EnvironmentLookup &environment,
                                    const FeatureTranslation &translateFeature = {});

}
