#pragma once

#include "StandInServer.h"

#include <LibCore/Ids.h>
#include <LibCore/SystemClock.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Lovageward::StandIns {

struct EngineSettings
{
    Duration firstTokenDelay = milliseconds(50);
    Duration tokenGap = milliseconds(20);
    std::uint32_t defaultTokens = 40;
    std::uint32_t maximumRunning = 256;
    std::uint32_t coldLimit = 2;
    bool startsCold = false;
};

/**
 * Stand-in of a model engine: completions that can be resumed and cancelled, load reports and orders (docs/design.md, section 7).
 * Tokens become available at a fixed rate, whether or not a connection reads them. Their number is N if the prompt contains
 * "tokens=N", and the default of the settings otherwise. `PUT /faults` takes an object with any of "silentAfter", "dropAfter",
 * "omitEnd", "crossed", "refuse", "isCold" and "crashAfter".
 */
class EngineRole final : public Role
{
public:
    explicit EngineRole(EngineSettings settings);

    void handle(HttpExchange &exchange) override;

private:
    struct Generation
    {
        std::string request;
        bool isChat = false;
        bool isStreamed = true;
        std::uint32_t tokens = 0;
        TimePoint startedAt;
        TimePoint endsAt;
        bool isCancelled = false;
    };

    struct Faults
    {
        /** Token offset from which connections stay open but send nothing more; negative for none. */
        int silentAfter = -1;
        /** Token offset at which connections are closed; negative for none. */
        int dropAfter = -1;
        /** Token offset at which the process exits; negative for none. */
        int crashAfter = -1;
        /** Streams end without the [DONE] event. */
        bool omitEnd = false;
        /** Events contain the id of another request. */
        bool hasForeignRequestId = false;
        bool isRefusing = false;
    };

    void startGeneration(HttpExchange &exchange, bool isChat);
    void resumeGeneration(HttpExchange &exchange, const std::string &id);
    void cancelGeneration(HttpExchange &exchange, const std::string &id);
    void streamTokens(HttpExchange &exchange, const std::string &id, std::uint32_t from);
    void sendCompletion(HttpExchange &exchange, const std::string &id);
    void sendLoadReport(HttpExchange &exchange);
    void handleOrder(HttpExchange &exchange);
    void setFaults(HttpExchange &exchange);
    std::string formatEvent(const std::string &id, const Generation &generation, std::uint32_t offset, const Faults &faults) const;
    Generation findGeneration(const std::string &id);
    std::uint32_t countRunningGenerations();
    TimePoint computeTokenTime(const Generation &generation, std::uint32_t offset) const;

    EngineSettings settings;
    SystemClock clock;
    std::string bootId;
    std::mutex mutex;
    std::map<std::string, Generation> generations;
    Faults faults;
    bool isCold = false;
    std::uint64_t highestFencingNumber = 0;
    std::uint64_t startedGenerations = 0;
};

}
