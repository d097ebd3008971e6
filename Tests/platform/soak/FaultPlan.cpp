#include "FaultPlan.h"

#include <LibCore/SeededRandom.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace Lovageward::Soak {

namespace {

constexpr std::uint64_t plannedKindCount = static_cast<std::uint64_t>(FaultKind::ChangeConfig) + 1;
constexpr std::uint64_t kindCount = static_cast<std::uint64_t>(FaultKind::CutLinkOneWay) + 1;
constexpr auto kindNames = std::to_array<const char *>({ "stop node",
                                                         "reload node",
                                                         "drain upstream",
                                                         "drain domain",
                                                         "change configuration",
                                                         "kill node",
                                                         "pause node",
                                                         "kill upstream",
                                                         "pause upstream",
                                                         "pause store",
                                                         "delay link",
                                                         "reset link",
                                                         "silence link",
                                                         "cut link one way",
                                                         "restore store" });
constexpr auto linkNames = std::to_array<const char *>({ "caller to node", "node to upstream", "node to store" });

/** One in this number of seeds has planned operations only. */
constexpr std::uint64_t plannedOnlySeedInterval = 3;
/** Maximum time between the starts of two faults; shorter than most faults, so that they overlap. */
constexpr std::uint64_t maximumGapMilliseconds = 900;
constexpr std::uint64_t minimumLengthMilliseconds = 300;
constexpr std::uint64_t lengthRangeMilliseconds = 2'000;
/** Earliest restoration of the store; the copy then has the first records of the deployment. */
constexpr Duration minimumRestorationStart = seconds(3);
constexpr std::uint64_t restorationSeedOffset = 1'000'000'007;

}

bool isPlanned(FaultKind kind)
{
    return kind <= FaultKind::ChangeConfig;
}

std::string describe(const Fault &fault)
{
    auto name = kindNames.at(static_cast<std::size_t>(fault.kind));
    auto isOfLink = fault.kind >= FaultKind::DelayLink && fault.kind != FaultKind::RestoreStore;
    auto link = isOfLink ? linkNames.at(static_cast<std::size_t>(fault.link)) : "";
    return fmt::format("{:6.2f} s to {:6.2f} s  {} {} (target {})",
                       std::chrono::duration<double>(fault.startsAt).count(),
                       std::chrono::duration<double>(fault.endsAt).count(),
                       name,
                       link,
                       fault.target);
}

namespace {

/** Adds a restoration of the store to every second run with unplanned faults, where there is time for it. */
void addRestoration(std::vector<Fault> &faults, std::uint64_t seed, Duration length)
{
    SeededRandom random(seed + restorationSeedOffset);
    if (random.below(2) == 0 || length <= 2 * minimumRestorationStart) {
        return;
    }
    Fault fault;
    fault.kind = FaultKind::RestoreStore;
    auto range = static_cast<std::uint64_t>((length - 2 * minimumRestorationStart) / milliseconds(1));
    fault.startsAt = minimumRestorationStart + milliseconds(random.below(range + 1));
    fault.endsAt = fault.startsAt + milliseconds(minimumLengthMilliseconds + random.below(lengthRangeMilliseconds));
    faults.push_back(fault);
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) { return left.startsAt < right.startsAt; });
}

}

std::vector<Fault> drawFaults(std::uint64_t seed, Duration length)
{
    SeededRandom random(seed);
    std::vector<Fault> faults;
    auto kinds = seed % plannedOnlySeedInterval == 0 ? plannedKindCount : kindCount;
    for (Duration at = milliseconds(500); at < length;) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(random.below(kinds));
        fault.startsAt = at;
        fault.endsAt = at + milliseconds(minimumLengthMilliseconds + random.below(lengthRangeMilliseconds));
        fault.target = random.below(1'000);
        fault.link = static_cast<LinkKind>(random.below(linkNames.size()));
        faults.push_back(fault);
        at += milliseconds(random.below(maximumGapMilliseconds));
    }
    if (kinds == kindCount) {
        addRestoration(faults, seed, length);
    }
    return faults;
}

}
