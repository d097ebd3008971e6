#pragma once

#include "StandInServer.h"

#include <LibCore/SystemClock.h>
#include <LibCore/TokenBucket.h>
#include <LibLog/InMemoryLogService.h>

#include <atomic>
#include <mutex>

namespace Lovageward::StandIns {

/**
 * The platform: append-only log (`/log/{stream}`), host list (`/hosts`) and rate-limited weight store (`/weights/{model}`).
 * `PUT /faults` takes {"outageMs", "loseAnswers", "delayMs"}; `GET /stats` gives the appends and bytes so far.
 */
class PlatformRole final : public Role
{
public:
    /** Appends beyond the rate wait, as at a service that is near its limit. */
    PlatformRole(double appendsPerSecond, double weightLoadsPerMinute, Duration retention, std::string hostsJson);

    void handle(Call &call) override;

private:
    void handleLog(Call &call);
    void append(Call &call, const StreamName &stream);
    void read(Call &call, const StreamName &stream);
    void handleHosts(Call &call);
    void setFaults(Call &call);
    void answerStats(Call &call) const;
    bool isOut() const;
    void waitForAppendSlot();

    SystemClock clock;
    InMemoryLogService log;
    TokenBucket appendRate;
    TokenBucket weightRate;
    std::mutex hostsMutex;
    std::string hosts;
    std::atomic<Duration::rep> outageEndsAt = 0;
    std::atomic<int> answersToLose = 0;
    std::atomic<int> delayMilliseconds = 0;
    std::atomic<std::uint64_t> appends = 0;
    std::atomic<std::uint64_t> appendedBytes = 0;
    std::atomic<std::uint64_t> readBytes = 0;
};

}
