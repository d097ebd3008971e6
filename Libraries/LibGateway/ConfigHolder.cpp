#include <LibGateway/ConfigHolder.h>

namespace Lovageward {

bool ConfigHolder::offer(std::shared_ptr<const GatewayConfig> candidate)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->inForce && candidate->version() <= this->inForce->version()) {
        return false;
    }
    this->inForce = std::move(candidate);
    return true;
}

std::shared_ptr<const GatewayConfig> ConfigHolder::current() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->inForce;
}

}
