#include <LibClaims/IdempotencyKey.h>

#include <LibCore/Error.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace Lovageward {

namespace {

constexpr std::size_t minimumRandomLength = 16;
constexpr std::size_t maximumRandomLength = 64;
// Ten digits reach the year 2286 and can't overflow the time.
constexpr std::size_t maximumDigits = 10;

bool isKeyCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '_'
        || character == '-';
}

[[noreturn]] void refuse(const char *reason)
{
    throw Error(ResultCode::IdempotencyKeyInvalid, RunState::NotRun, fmt::format("the idempotency key {}", reason));
}

}

IdempotencyKey IdempotencyKey::parse(std::string_view text)
{
    if (text.empty()) {
        throw Error(ResultCode::IdempotencyKeyMissing, RunState::NotRun, "calls of this class need the header Idempotency-Key");
    }
    auto dash = text.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash > maximumDigits) {
        refuse("does not start with unix seconds and a dash");
    }
    std::int64_t secondsSinceEpoch = 0;
    auto digits = text.substr(0, dash);
    auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), secondsSinceEpoch);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || secondsSinceEpoch < 0) {
        refuse("does not start with unix seconds");
    }
    auto random = text.substr(dash + 1);
    if (random.size() < minimumRandomLength || random.size() > maximumRandomLength) {
        refuse("needs a random part of 16 to 64 characters");
    }
    if (!std::all_of(random.begin(), random.end(), isKeyCharacter)) {
        refuse("has characters outside A-Z a-z 0-9 _ -");
    }
    return { std::string(text), LogTime(seconds(secondsSinceEpoch)) };
}

KeyAge IdempotencyKey::ageAt(LogTime keyTime, LogTime appendedAt)
{
    if (appendedAt > keyTime + idempotencyWindow) {
        return KeyAge::TooOld;
    }
    if (keyTime > appendedAt + idempotencyFutureLimit) {
        return KeyAge::InFuture;
    }
    return KeyAge::Usable;
}

std::string IdempotencyKey::scoped(const TeamId &team, const WorkClassId &workClass) const
{
    // The length prefixes make the text unambiguous, whatever characters the ids contain.
    return fmt::format("{}:{}{}:{}{}", team.value().size(), team.value(), workClass.value().size(), workClass.value(), this->text);
}

}
