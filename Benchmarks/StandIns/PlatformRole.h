#pragma once

#include "StandInServer.h"

#include <LibCore/SystemClock.h>
#include <LibCore/TokenBucket.h>
#include <LibLog/InMemoryLogService.h>

#include <atomic>
#include <mutex>

namespace Lovageward::StandIns {

/**
 * Stand-in of the platform: append-only log (`/log/{stream}`), host list (`/hosts`) and rate-limited weight store (`/weights/{model}`).
 * `PUT /faults` takes an object with any of "outageMs", "loseAnswers" and "delayMs". `GET /stats` returns the number of appends and the bytes
 * appended and read since the start.
 */
class PlatformRole final : public Role
{
public:
    /** Appends beyond the rate are delayed, as by a service that is close to its capacity. `hostsJson` is the initial host list. */
    PlatformRole(double appendsPerSecond, double weightLoadsPerMinute, Duration retention, std::string hostsJson);

    void handle(HttpExchange &exchange) override;

private:
    void handleLog(HttpExchange &exchange);
    void append(HttpExchange &exchange, const StreamName &stream);
    void read(HttpExchange &exchange, const StreamName &stream);
    void handleHostList(HttpExchange &exchange);
    void setFaults(HttpExchange &exchange);
    void sendStats(HttpExchange &exchange) const;
    bool isDown() const;
    void waitForAppendSlot();

    SystemClock clock;
    InMemoryLogService log;
    TokenBucket appendRate;
    TokenBucket weightRate;
    std::mutex hostsMutex;
    std::string hosts;
    std::atomic<Duration::rep> outageEndsAt = 0;
    std::atomic<int> responsesToLose = 0;
    std::atomic<int> delayMilliseconds = 0;
    std::atomic<std::uint64_t> appends = 0;
    std::atomic<std::uint64_t> appendedBytes = 0;
    std::atomic<std::uint64_t> readBytes = 0;
};

}
