#include <LibGateway/ConfigHolder.h>

namespace Lovageward {

bool ConfigHolder::updateIfNewer(std::shared_ptr<const GatewayConfig> candidate)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->active && candidate->version() <= this->active->version()) {
        return false;
    }
    this->active = std::move(candidate);
    return true;
}

std::shared_ptr<const GatewayConfig> ConfigHolder::current() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->active;
}

}
