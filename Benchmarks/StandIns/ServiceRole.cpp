#include "ServiceRole.h"

#include <LibCore/SystemRandom.h>
#include <LibCore/Time.h>

#include <fmt/format.h>

#include <thread>

namespace Lovageward::StandIns {

ServiceRole::ServiceRole() : bootId(SystemRandom().hexId())
{
}

void ServiceRole::handle(Call &call)
{
    auto part = call.path.empty() ? std::string() : call.path.front();
    if (part == "call" && call.path.size() == 2) {
        this->run(call);
    } else if (part == "executions" && call.path.size() == 2) {
        this->answerExecutedBodies(call);
    } else if (part == "executions") {
        this->answerExecutions(call);
    } else if (part == "faults") {
        this->setFaults(call);
    } else if (part == "load") {
        call.answer(
            200,
            fmt::format(R"({{"bootId":"{}","phase":"warm","running":0,"waiting":0,"kvBlocksUsed":0,"kvBlocksTotal":1024,"coldLimit":4,"reportedAtMs":0}})",
                        this->bootId));
    } else {
        call.answer(404, "{}");
    }
}

void ServiceRole::run(Call &call)
{
    auto body = call.body();
    if (this->isRefusing) {
        call.answer(503, R"({"error":"service is full"})");
        return;
    }
    std::this_thread::sleep_for(milliseconds(this->delayMilliseconds.load()));
    int number = 0;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        ++this->executions[body];
        number = ++this->lastNumber;
    }
    if (this->answersToDrop > 0) {
        --this->answersToDrop;
        throw Poco::Net::NetException("answer dropped on purpose");
    }
    call.response.set("X-Request-Id", call.request.get("X-Request-Id", ""));
    call.answer(200, fmt::format(R"({{"operation":"{}","number":{}}})", call.path.at(1), number));
}

void ServiceRole::answerExecutions(Call &call)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    int total = 0;
    int most = 0;
    for (const auto &[body, count] : this->executions) {
        total += count;
        most = std::max(most, count);
    }
    call.answer(200, fmt::format(R"({{"bodies":{},"executions":{},"mostForOneBody":{}}})", this->executions.size(), total, most));
}

void ServiceRole::answerExecutedBodies(Call &call)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::string text;
    for (const auto &[body, count] : this->executions) {
        text += fmt::format("{} {}\n", count, body);
    }
    call.answer(200, text, "text/plain");
}

void ServiceRole::setFaults(Call &call)
{
    auto input = parseObject(call.body());
    this->answersToDrop = input->optValue("dropAnswers", 0);
    this->delayMilliseconds = input->optValue("delayMs", 0);
    this->isRefusing = input->optValue("refuse", false);
    call.answer(200, "{}");
}

}
