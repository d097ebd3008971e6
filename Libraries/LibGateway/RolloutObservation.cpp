#include <LibGateway/RolloutObservation.h>

#include <utility>

namespace Lovageward {

namespace {

/** Intervals between events after which the time per event is known well enough. Later ones aren't needed: most runs are longer. */
constexpr std::uint64_t pacedEvents = 8;

}

RolloutObservation::RolloutObservation(const Clock &clock, RolloutRecorder &recorder, ObservedRun run) : clock(clock), recorder(recorder), run(std::move(run))
{
}

RolloutObservation::~RolloutObservation()
{
    if (!this->isEnded && this->events == 0) {
        this->recorder.recordAbandoned(this->run, this->clock.now() - this->run.sentAt);
    }
}

void RolloutObservation::recordEvent()
{
    auto now = this->clock.now();
    ++this->events;
    if (this->events == 1) {
        this->firstEventAt = now;
        this->recorder.recordStart(this->run, now - this->run.sentAt);
    } else if (this->events == pacedEvents + 1) {
        this->recorder.recordPace(this->run, (now - this->firstEventAt) / static_cast<Duration::rep>(pacedEvents));
    }
}

void RolloutObservation::recordFailure(bool isConnectionLost)
{
    if (!std::exchange(this->isEnded, true)) {
        this->recorder.recordFailure(this->run, isConnectionLost);
    }
}

void RolloutObservation::discard()
{
    this->isEnded = true;
}

}
