#include <policy/Deployment.h>

namespace Lovageward::Bench {

namespace {

const std::vector<double> defaultTeamShares { 0.25, 0.2, 0.15, 0.08, 0.08, 0.06, 0.06, 0.05, 0.04, 0.03 };

struct Domain
{
    const char *name;
    const char *region;
    int engines;
    int services;
};

void addEngines(Deployment &deployment, const std::vector<Domain> &domains, const PoolId &enginePool, const PoolId &servicePool)
{
    EngineProfile engine;
    engine.pool = enginePool;
    EngineProfile service;
    service.pool = servicePool;
    service.blocks = 0;
    service.maximumBatchSize = 16;
    service.stepBaseMicros = 5000;
    service.coldLimit = 8;
    for (const auto &domain : domains) {
        auto add = [&](const EngineProfile &profile, int count) {
            for (int index = 0; index < count; ++index) {
                auto name = profile.pool.value() + "-" + domain.name + "-" + std::to_string(index);
                deployment.engines.push_back({ name, RegionId(domain.region), FailureDomainId(domain.name), profile });
            }
        };
        add(engine, domain.engines);
        add(service, domain.services);
    }
    deployment.enginePool = enginePool;
}

ClassProfile service(const char *name, const PoolId &pool, double share)
{
    ClassProfile profile;
    profile.name = name;
    profile.pool = pool;
    profile.share = share;
    profile.medianLength = 10;
    profile.sigma = 0.4;
    profile.maximumLength = 100;
    profile.medianPrompt = 4;
    profile.target = TargetKind::Completion;
    profile.targetTime = 2 * oneSecond;
    profile.firstTokenTimeout = 2 * oneSecond;
    profile.priority = 2;
    return profile;
}

}

Deployment kavach()
{
    Deployment deployment;
    deployment.name = "Kavach";
    const PoolId engines("tailor-llm");
    const PoolId services("shop-app");
    ClassProfile plan;
    plan.name = "plan";
    plan.pool = engines;
    plan.medianLength = 700;
    plan.sigma = 1.2;
    plan.medianPrompt = 600;
    plan.target = TargetKind::Completion;
    plan.targetTime = 400 * oneSecond;
    plan.firstTokenTimeout = 60 * oneSecond;
    deployment.classes = { plan, service("booking", services, 0.3), service("lookup", services, 0.7) };
    addEngines(deployment, { { "surat-a", "guj-west", 4, 1 }, { "rajkot-b", "guj-west", 4, 1 }, { "mehsana-a", "guj-north", 4, 1 } }, engines, services);
    deployment.nodes.assign(5, RegionId("guj-west"));
    deployment.nodes.insert(deployment.nodes.end(), 3, RegionId("guj-north"));
    deployment.teamShares = defaultTeamShares;
    deployment.drainedDomain = FailureDomainId("rajkot-b");
    return deployment;
}

Deployment evcilKare()
{
    Deployment deployment;
    deployment.name = "Evcil Kare";
    const PoolId engines("kare-writer");
    const PoolId services("randevu-app");
    ClassProfile story;
    story.name = "story";
    story.pool = engines;
    story.share = 0.5;
    story.medianLength = 600;
    story.sigma = 1.3;
    story.medianPrompt = 900;
    story.target = TargetKind::TokenGap;
    story.targetTime = oneSecond;
    story.firstTokenTimeout = 30 * oneSecond;
    ClassProfile verdict;
    verdict.name = "verdict";
    verdict.pool = engines;
    verdict.share = 0.5;
    verdict.medianLength = 25;
    verdict.sigma = 0.7;
    verdict.maximumLength = 400;
    verdict.medianPrompt = 300;
    verdict.target = TargetKind::FirstToken;
    verdict.targetTime = 2 * oneSecond;
    verdict.firstTokenTimeout = 5 * oneSecond;
    verdict.priority = 1;
    deployment.classes = { story, verdict, service("booking", services, 0.2), service("deposit", services, 0.1), service("lookup", services, 0.7) };
    addEngines(deployment, { { "marmara-a", "marmara", 5, 1 }, { "marmara-b", "marmara", 5, 1 }, { "ege-a", "ege", 4, 1 } }, engines, services);
    deployment.nodes.assign(5, RegionId("marmara"));
    deployment.nodes.insert(deployment.nodes.end(), 3, RegionId("ege"));
    deployment.teamShares = defaultTeamShares;
    deployment.drainedDomain = FailureDomainId("marmara-b");
    return deployment;
}

}
