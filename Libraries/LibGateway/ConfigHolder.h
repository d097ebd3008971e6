#pragma once

#include <LibGateway/GatewayConfig.h>

#include <memory>
#include <mutex>

namespace Lovageward {

/** Holds the active configuration. Its version never decreases during the lifetime of the process. Thread-safe; its mutex is a leaf lock. */
class ConfigHolder
{
public:
    /** Activates the configuration if its version is higher than the active one. Returns whether it was activated. */
    bool updateIfNewer(std::shared_ptr<const GatewayConfig> candidate);

    /** Null until the first configuration is activated. */
    std::shared_ptr<const GatewayConfig> current() const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const GatewayConfig> active;
};

}
