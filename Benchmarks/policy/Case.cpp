#include <policy/Case.h>

#include <LibPolicy/ForecastChooser.h>
#include <LibPolicy/LeastOutstandingChooser.h>
#include <LibPolicy/RoundRobinChooser.h>
#include <LibPolicy/TwoChoicesChooser.h>

#include <functional>
#include <map>
#include <sstream>
#include <stdexcept>

namespace Lovageward::Bench {

const char *nameOf(Disturbance disturbance)
{
    switch (disturbance) {
    case Disturbance::Calm:
        return "calm";
    case Disturbance::DomainDrained:
        return "domain-drained";
    case Disturbance::EngineKilled:
        return "engine-killed";
    case Disturbance::EngineCold:
        return "engine-cold";
    case Disturbance::ReportsLate:
        return "reports-late";
    case Disturbance::TeamBurst:
        return "team-burst";
    case Disturbance::DomainMissing:
        return "domain-missing";
    }
    return "";
}

std::vector<Disturbance> allDisturbances()
{
    return {
        Disturbance::Calm, Disturbance::DomainDrained, Disturbance::EngineKilled, Disturbance::EngineCold, Disturbance::ReportsLate, Disturbance::TeamBurst
    };
}

std::vector<std::string> allPolicies()
{
    return { "round-robin", "least-outstanding", "two-choices", ownPolicy, "forecast-subset" };
}

bool isBaseline(const std::string &policy)
{
    return policy == "round-robin" || policy == "least-outstanding" || policy == "two-choices";
}

namespace {

/** Overrides settings of the forecast policy, given as "name=value+name=value". */
void applySettings(ForecastSettings &settings, const std::string &text)
{
    const std::map<std::string, std::function<void(double)>> setters = {
        { "gap", [&settings](double value) { settings.tokenGapDeviations = value; } },
        { "completion", [&settings](double value) { settings.completionDeviations = value; } },
        { "young", [&settings](double value) { settings.initialFillLimit = value; } },
        { "drawn", [&settings](double value) { settings.drawnCandidates = static_cast<std::size_t>(value); } },
        { "affinity", [&settings](double value) { settings.maximumAffinityLoad = value; } },
        { "cold", [&settings](double value) { settings.coldProbability = value; } },
        { "aged", [&settings](double value) { settings.agingTime = Duration(static_cast<std::int64_t>(value * oneSecond)); } },
        { "nodes", [&settings](double value) { settings.nodeCount = static_cast<std::size_t>(value); } },
    };
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, '+');) {
        auto equals = part.find('=');
        setters.at(part.substr(0, equals))(std::stod(part.substr(equals + 1)));
    }
}

}

std::unique_ptr<UpstreamChooser> makeChooser(const std::string &policy, const ChooserParameters &parameters)
{
    if (policy == "round-robin") {
        return std::make_unique<RoundRobinChooser>(parameters.random, parameters.table, parameters.region);
    }
    if (policy == "least-outstanding") {
        return std::make_unique<LeastOutstandingChooser>(parameters.random, parameters.table, parameters.region);
    }
    if (policy == "two-choices") {
        return std::make_unique<TwoChoicesChooser>(parameters.random, parameters.table, parameters.region);
    }
    ForecastSettings settings;
    settings.ownRegion = parameters.region;
    settings.nodeCount = parameters.nodeCount;
    settings.tokensPerBlock = parameters.tokensPerBlock;
    if (policy == "forecast-subset") {
        // The own region has up to ten engines. Fewer than five can't serve the load of the largest team.
        settings.teamSubsetSize = 5;
    } else if (policy.starts_with(ownPolicy + ":")) {
        applySettings(settings, policy.substr(ownPolicy.size() + 1));
    } else if (policy != ownPolicy) {
        throw std::invalid_argument("unknown policy " + policy);
    }
    return std::make_unique<ForecastChooser>(parameters.clock, parameters.random, parameters.table, settings);
}

}
