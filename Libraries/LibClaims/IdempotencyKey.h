#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <string>
#include <string_view>

namespace Lovageward {

/** Time for which a key may be used, counted from the time in the key. */
constexpr Duration idempotencyWindow = minutes(10);
/** Maximum time by which a key's time may be ahead of the log's time, for callers whose clocks are fast. */
constexpr Duration idempotencyFutureLimit = seconds(30);

enum class KeyAge {
    Usable,
    TooOld,
    InFuture,
};

/** Value of the header Idempotency-Key: `<unix seconds>-<16 to 64 characters of A-Z a-z 0-9 _ ->`. */
class IdempotencyKey
{
public:
    /** Throws Error(IdempotencyKeyMissing) for an empty text and Error(IdempotencyKeyInvalid) for a malformed one, both NotRun. */
    static IdempotencyKey parse(std::string_view text);

    const std::string &value() const
    {
        return this->text;
    }

    /** Time in the key, which is compared with the log's append times. */
    LogTime time() const
    {
        return this->namedTime;
    }

    /** Age of a key with the time `keyTime` when its claim record was appended. */
    static KeyAge ageAt(LogTime keyTime, LogTime appendedAt);

    /** Text that identifies the key across all teams and work classes. */
    std::string scoped(const TeamId &team, const WorkClassId &workClass) const;

private:
    IdempotencyKey(std::string text, LogTime namedTime) : text(std::move(text)), namedTime(namedTime)
    {
    }

    std::string text;
    LogTime namedTime;
};

}
