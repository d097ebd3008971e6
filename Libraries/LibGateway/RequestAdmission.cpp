#include <LibGateway/RequestAdmission.h>

#include <LibCore/Error.h>
#include <LibGateway/RequestPlacer.h>
#include <LibGateway/RetryAfterPolicy.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

[[noreturn]] void throwRefusal(ResultCode code, const std::string &message)
{
    throw Error(code, RunState::NotRun, message);
}

std::string_view extractPath(const std::string &target)
{
    return std::string_view(target).substr(0, target.find_first_of("?#"));
}

/** Regions that both lists allow. An empty list allows all regions. Returns nullopt if no region is in both lists. */
std::optional<std::vector<RegionId>> intersect(const std::vector<RegionId> &left, const std::vector<RegionId> &right)
{
    if (left.empty() || right.empty()) {
        return left.empty() ? right : left;
    }
    std::vector<RegionId> common;
    std::copy_if(left.begin(), left.end(), std::back_inserter(common), [&](const RegionId &region) {
        return std::find(right.begin(), right.end(), region) != right.end();
    });
    return common.empty() ? std::nullopt : std::optional(common);
}

}

Footprint RequestAdmission::estimateFootprint(const ForwardedRequest &request, const Route &route, const UpstreamPool &pool) const
{
    if (!pool.engine) {
        return {};
    }
    auto expectedOutput = this->predictor.predict(route.id, request.expectedOutputTokens, request.maximumOutputTokens);
    return Footprint { static_cast<double>(request.promptTokens.value()), expectedOutput, static_cast<double>(request.maximumOutputTokens.value()) };
}

AdmittedRequest RequestAdmission::admit(ForwardedRequest request, std::shared_ptr<const GatewayConfig> config) const
{
    if (!config) {
        throw Error(
            ResultCode::NodeStarting, RunState::NotRun, "the node has not loaded its configuration yet", RetryAfterPolicy(this->random).delayWhenNotReady());
    }
    AdmittedRequest admitted;
    admitted.route = config->findRoute(request.host, extractPath(request.target));
    if (admitted.route == nullptr) {
        throwRefusal(ResultCode::NotFound, "no route matches the host and path");
    }
    admitted.priority = admitted.route->priority;
    std::vector<RegionId> teamRegions;
    if (config->hasTeams() && admitted.route->requiresApiKey) {
        const auto *team = config->findTeam(request.apiKey);
        if (team == nullptr) {
            throwRefusal(ResultCode::Unauthenticated, "the API key belongs to no team");
        }
        admitted.team = team->id;
        admitted.priority = team->priority.value_or(admitted.route->priority);
        teamRegions = team->allowedRegions;
    }
    auto regions = intersect(admitted.route->allowedRegions, teamRegions);
    admitted.pool = config->findPool(RequestPlacer::choosePool(*admitted.route, this->random.unit()));
    if (!regions || admitted.pool == nullptr) {
        throwRefusal(ResultCode::NoCapacity, "the configuration allows no pool or region for this request");
    }
    admitted.allowedRegions = *regions;
    admitted.deadline = std::min(request.deadline, request.arrivedAt + admitted.route->timeout);
    admitted.footprint = this->estimateFootprint(request, *admitted.route, *admitted.pool);
    admitted.request = std::move(request);
    admitted.config = std::move(config);
    return admitted;
}

}
