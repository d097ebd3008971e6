#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <string>
#include <string_view>

namespace Lovageward {

/** Time for which a key may be used after the time it names. */
constexpr Duration idempotencyWindow = minutes(10);
/** How far a key's time may be ahead of the log's time, for callers whose clocks are fast. */
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

    /** Time that the key names, compared with the log's append times. */
    LogTime time() const
    {
        return this->namedTime;
    }

    /** Age of a key that names `keyTime`, at the append time of the claim record. */
    static KeyAge ageAt(LogTime keyTime, LogTime appendedAt);

    /** Text that identifies the key among all teams and classes. */
    std::string scoped(const TeamId &team, const WorkClassId &workClass) const;

private:
    IdempotencyKey(std::string text, LogTime namedTime) : text(std::move(text)), namedTime(namedTime)
    {
    }

    std::string text;
    LogTime namedTime;
};

}
