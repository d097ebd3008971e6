#include <LibCore/TokenBucket.h>

#include <algorithm>

namespace Lovageward {

namespace {

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

TokenBucket::TokenBucket(const Clock &clock, double ratePerSecond, double burst)
    : clock(clock), ratePerSecond(ratePerSecond), burst(burst), level(burst), updatedAt(clock.now())
{
}

bool TokenBucket::tryTake(double amount)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    this->level = this->levelAt(now);
    this->updatedAt = now;
    if (this->level < amount) {
        return false;
    }
    this->level -= amount;
    return true;
}

void TokenBucket::take(double amount)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    this->level = this->levelAt(now) - amount;
    this->updatedAt = now;
}

TimePoint TokenBucket::availableAt(double amount) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto missing = amount - this->levelAt(now);
    if (missing <= 0) {
        return now;
    }
    auto wait = std::chrono::duration<double>(missing / this->ratePerSecond);
    return now + std::chrono::ceil<Duration>(wait);
}

void TokenBucket::setRate(double newRatePerSecond)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    this->level = this->levelAt(now);
    this->updatedAt = now;
    this->ratePerSecond = newRatePerSecond;
}

double TokenBucket::levelAt(TimePoint time) const
{
    auto gained = inSeconds(time - this->updatedAt) * this->ratePerSecond;
    return std::min(this->burst, this->level + gained);
}

}
