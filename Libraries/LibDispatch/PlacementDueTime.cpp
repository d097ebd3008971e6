#include <LibDispatch/PlacementDueTime.h>

#include <algorithm>

namespace Lovageward {

TimePoint computePlacementDueTime(TargetKind target, Duration targetTime, TimePoint arrivedAt, TimePoint queueDeadline)
{
    auto latest = std::max(Duration(0), (queueDeadline - arrivedAt) / 2);
    switch (target) {
    case TargetKind::FirstToken:
        // The other half of the target remains for the prefill at the upstream.
        return arrivedAt + std::min(latest, targetTime / 2);
    case TargetKind::Completion:
        // Generation takes most of the time until the response is complete.
        return arrivedAt + std::min(latest, targetTime / 4);
    case TargetKind::TokenGap:
        // The time between tokens doesn't depend on the time in the queue.
        break;
    }
    return arrivedAt + latest;
}

}
