#include <policy/Arrivals.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace Lovageward::Bench {

namespace {

constexpr std::uint32_t prefixesPerTeam = 6;
constexpr double prefixShareOfPrompt = 0.6;
constexpr double promptSigma = 0.6;
/** Largest factor between the lengths of a team and those of its class, so that learning per team has an effect. */
constexpr double teamLengthFactor = 1.6;
constexpr double usableMemory = 0.97;
constexpr int capacitySamples = 200000;

double lognormal(std::mt19937_64 &engine, double median, double sigma)
{
    std::normal_distribution<double> normal;
    return median * std::exp(sigma * normal(engine));
}

void drawLengths(std::mt19937_64 &engine, const ClassProfile &profile, Arrival &arrival)
{
    auto position = static_cast<double>(arrival.team % 5) / 2 - 1;
    auto factor = std::pow(teamLengthFactor, position);
    auto length = std::clamp(lognormal(engine, profile.medianLength * factor, profile.sigma), 4.0, profile.maximumLength);
    arrival.outputTokens = static_cast<std::uint32_t>(length);
    auto prompt = std::clamp(lognormal(engine, profile.medianPrompt, promptSigma), 4.0, 8000.0);
    arrival.promptTokens = static_cast<std::uint32_t>(prompt);
    arrival.prefixTokens = static_cast<std::uint32_t>(prompt * prefixShareOfPrompt);
    arrival.prefixId = 1 + arrival.team * prefixesPerTeam + engine() % prefixesPerTeam;
}

std::uint32_t drawIndex(std::mt19937_64 &engine, const std::vector<double> &weights)
{
    return std::discrete_distribution<std::uint32_t>(weights.begin(), weights.end())(engine);
}

std::vector<double> classWeights(const Deployment &deployment, bool isEngineTraffic)
{
    std::vector<double> weights;
    for (const auto &profile : deployment.classes) {
        weights.push_back((profile.pool == deployment.enginePool) == isEngineTraffic ? profile.share : 0);
    }
    return weights;
}

void addArrivals(std::vector<Arrival> &arrivals,
                 const Deployment &deployment,
                 bool isEngineTraffic,
                 double rate,
                 Micros end,
                 const TeamBurst &burst,
                 std::mt19937_64 &engine)
{
    auto weights = classWeights(deployment, isEngineTraffic);
    std::discrete_distribution<std::uint32_t> classes(weights.begin(), weights.end());
    std::discrete_distribution<std::uint32_t> teams(deployment.teamShares.begin(), deployment.teamShares.end());
    std::exponential_distribution<double> gap(rate);
    auto add = [&](double time, std::uint32_t team) {
        Arrival arrival;
        arrival.at = static_cast<Micros>(time * oneSecond);
        arrival.team = team;
        arrival.node = static_cast<std::uint32_t>(engine() % deployment.nodes.size());
        arrival.workClass = classes(engine);
        drawLengths(engine, deployment.classes[arrival.workClass], arrival);
        arrivals.push_back(arrival);
    };
    auto seconds = static_cast<double>(end) / oneSecond;
    for (auto time = gap(engine); time < seconds; time += gap(engine)) {
        add(time, teams(engine));
    }
    if (isEngineTraffic && burst.factor > 1) {
        std::exponential_distribution<double> extra(rate * deployment.teamShares[burst.team] * (burst.factor - 1));
        auto until = static_cast<double>(burst.to) / oneSecond;
        for (auto time = static_cast<double>(burst.from) / oneSecond + extra(engine); time < until; time += extra(engine)) {
            add(time, burst.team);
        }
    }
}

}

double computeCapacity(const Deployment &deployment)
{
    std::mt19937_64 engine(1);
    auto weights = classWeights(deployment, true);
    double tokens = 0;
    double blockSteps = 0;
    double prompts = 0;
    EngineProfile profile;
    for (int sample = 0; sample < capacitySamples; ++sample) {
        Arrival arrival;
        arrival.workClass = drawIndex(engine, weights);
        arrival.team = drawIndex(engine, deployment.teamShares);
        drawLengths(engine, deployment.classes[arrival.workClass], arrival);
        tokens += arrival.outputTokens;
        blockSteps += arrival.outputTokens * ((arrival.promptTokens + arrival.outputTokens / 2.0) / profile.tokensPerBlock + 0.5);
        // Assumes that the caches hold half of the prefixes.
        prompts += arrival.promptTokens - arrival.prefixTokens / 2.0;
    }
    auto blocks = usableMemory * profile.blocks;
    auto sequences = std::min(blocks / (blockSteps / tokens), static_cast<double>(profile.maximumBatchSize));
    auto fixed = profile.stepBaseMicros + profile.stepPerSequenceMicros * sequences + profile.stepPerBlockMicros * blocks;
    // Each step completes sequences * samples / tokens requests on average, and computes the prompts of as many.
    auto step = fixed + sequences * prompts / tokens * profile.stepPerPrefillTokenMicros;
    auto engines = std::ranges::count_if(deployment.engines, [&](const auto &place) { return place.profile.pool == deployment.enginePool; });
    return static_cast<double>(engines) * sequences * capacitySamples / tokens / (step / oneSecond);
}

std::vector<Arrival> makeArrivals(const Deployment &deployment, double rate, Micros end, const TeamBurst &burst, std::uint64_t seed)
{
    std::vector<Arrival> arrivals;
    std::mt19937_64 engine(seed);
    addArrivals(arrivals, deployment, true, rate, end, burst, engine);
    addArrivals(arrivals, deployment, false, deployment.serviceRate, end, burst, engine);
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
}

}
