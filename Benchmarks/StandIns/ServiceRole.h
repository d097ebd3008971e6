#pragma once

#include "StandInServer.h"

#include <atomic>
#include <map>
#include <mutex>

namespace Lovageward::StandIns {

/**
 * Stand-in of a plain service: `POST /call/{operation}` executes the operation and responds with a sequence number. `GET /executions` returns
 * how often request bodies were executed, so that a test can detect a repeated booking, and `GET /executions/all` returns the count of each body.
 * `GET /load` reports a warm service. `PUT /faults` takes an object with any of "dropAnswers", "delayMs" and "refuse".
 */
class ServiceRole final : public Role
{
public:
    ServiceRole();

    void handle(HttpExchange &exchange) override;

private:
    void execute(HttpExchange &exchange);
    void sendExecutionCounts(HttpExchange &exchange);
    /** Sends a line per request body: its number of executions, a space and the body. */
    void sendExecutedBodies(HttpExchange &exchange);
    void setFaults(HttpExchange &exchange);

    std::string bootId;
    std::mutex mutex;
    std::map<std::string, int> executions;
    int lastExecutionNumber = 0;
    std::atomic<int> responsesToDrop = 0;
    std::atomic<int> delayMilliseconds = 0;
    std::atomic<bool> isRefusing = false;
};

}
