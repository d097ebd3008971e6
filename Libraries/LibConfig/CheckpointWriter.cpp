#include <LibConfig/CheckpointWriter.h>

#include <LibCore/Error.h>

namespace Lovageward {

namespace {

constexpr Duration appendTimeout = seconds(2);
// Time for the record to come back through the tail, and pause after a failure.
constexpr Duration pauseAfterAttempt = seconds(10);

}

CheckpointWriter::CheckpointWriter(
    const Clock &clock, LogSink &sink, Counters &counters, LogService &log, const Membership &membership, const ConfigStore &store, Duration retention)
    : clock(clock)
    , logger(sink, "config")
    , log(log)
    , membership(membership)
    , store(store)
    , rule(retention)
    , written(counters.counter("lovageward_config_checkpoints_written_total"))
{
}

bool CheckpointWriter::step()
{
    auto now = this->clock.now();
    if (now < this->notBefore || !this->isDue()) {
        return false;
    }
    auto checkpoint = this->store.checkpoint();
    if (!checkpoint) {
        return false;
    }
    this->notBefore = now + pauseAfterAttempt;
    try {
        this->log.append(configStream, encodeRecord(*checkpoint), now + appendTimeout);
        this->written.add();
        this->logger.info("wrote a checkpoint as of offset {}", checkpoint->asOf.value());
    } catch (const Error &error) {
        this->logger.warning("a checkpoint may not have been written: {}", error.what());
    }
    return true;
}

bool CheckpointWriter::isDue() const
{
    if (!this->store.isReady()) {
        return false;
    }
    auto ranksFirst = this->membership.ownerOf("config-checkpoint").host == this->membership.self().host;
    // The log's clock isn't readable without a record; hosts and log agree to far less than an eighth of the retention time.
    auto now = LogTime(this->clock.wallNow().time_since_epoch());
    return this->rule.isDue(this->store.checkpointAge(), now, ranksFirst);
}

}
