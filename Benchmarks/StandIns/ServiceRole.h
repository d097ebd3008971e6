#pragma once

#include "StandInServer.h"

#include <atomic>
#include <map>
#include <mutex>

namespace Lovageward::StandIns {

/**
 * A plain service: `POST /call/{operation}` runs the operation and answers with a running number. `GET /executions` gives how
 * often bodies were executed, so that a test sees a repeated booking, and `/executions/all` lists them. `GET /load` reports a warm service.
 * `PUT /faults` takes {"dropAnswers", "delayMs", "refuse"}.
 */
class ServiceRole final : public Role
{
public:
    ServiceRole();

    void handle(Call &call) override;

private:
    void run(Call &call);
    void answerExecutions(Call &call);
    /** One line per body: its number of executions, a space, the body. */
    void answerExecutedBodies(Call &call);
    void setFaults(Call &call);

    std::string bootId;
    std::mutex mutex;
    std::map<std::string, int> executions;
    int lastNumber = 0;
    std::atomic<int> answersToDrop = 0;
    std::atomic<int> delayMilliseconds = 0;
    std::atomic<bool> isRefusing = false;
};

}
