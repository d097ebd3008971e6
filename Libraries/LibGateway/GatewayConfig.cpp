#include <LibGateway/GatewayConfig.h>

#include <algorithm>

namespace Lovageward {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

}

GatewayConfig::GatewayConfig(
    ConfigVersion version, std::vector<Route> routes, std::vector<UpstreamPool> pools, std::vector<GatewayTeam> teams, CallerLimits limits)
    : number(version), routes(std::move(routes)), teams(std::move(teams)), callerLimits(limits)
{
    for (auto &pool : pools) {
        auto id = pool.id;
        this->pools.emplace(std::move(id), std::move(pool));
    }
    for (std::size_t position = 0; position < this->routes.size(); ++position) {
        this->routesByHost[lowerCase(this->routes[position].host)].push_back(position);
    }
    for (auto &[host, positions] : this->routesByHost) {
        std::stable_sort(positions.begin(), positions.end(), [this](std::size_t left, std::size_t right) {
            return this->routes[left].pathPrefix.size() > this->routes[right].pathPrefix.size();
        });
    }
    for (std::size_t position = 0; position < this->teams.size(); ++position) {
        for (const auto &key : this->teams[position].acceptedKeys) {
            this->teamsByKey.emplace(key, position);
        }
    }
}

const Route *GatewayConfig::findRoute(std::string_view host, std::string_view path) const
{
    auto name = lowerCase(host.substr(0, host.find(':')));
    auto found = this->routesByHost.find(name);
    if (found == this->routesByHost.end()) {
        return nullptr;
    }
    for (auto position : found->second) {
        if (path.starts_with(this->routes[position].pathPrefix)) {
            return &this->routes[position];
        }
    }
    return nullptr;
}

const GatewayTeam *GatewayConfig::findTeam(const std::string &key) const
{
    auto found = this->teamsByKey.find(key);
    return found == this->teamsByKey.end() ? nullptr : &this->teams[found->second];
}

const UpstreamPool *GatewayConfig::findPool(const PoolId &pool) const
{
    auto found = this->pools.find(pool);
    return found == this->pools.end() ? nullptr : &found->second;
}

}
