#include "ServiceRole.h"

#include <LibCore/SystemRandom.h>
#include <LibCore/Time.h>

#include <fmt/format.h>

#include <thread>

namespace Lovageward::StandIns {

ServiceRole::ServiceRole() : bootId(SystemRandom().hexId())
{
}

void ServiceRole::handle(HttpExchange &exchange)
{
    auto part = exchange.path.empty() ? std::string() : exchange.path.front();
    if (part == "call" && exchange.path.size() == 2) {
        this->execute(exchange);
    } else if (part == "executions" && exchange.path.size() == 2) {
        this->sendExecutedBodies(exchange);
    } else if (part == "executions") {
        this->sendExecutionCounts(exchange);
    } else if (part == "faults") {
        this->setFaults(exchange);
    } else if (part == "load") {
        exchange.respond(
            200,
            fmt::format(R"({{"bootId":"{}","phase":"warm","running":0,"waiting":0,"kvBlocksUsed":0,"kvBlocksTotal":1024,"coldLimit":4,"reportedAtMs":0}})",
                        this->bootId));
    } else {
        exchange.respond(404, "{}");
    }
}

void ServiceRole::execute(HttpExchange &exchange)
{
    auto body = exchange.body();
    if (this->isRefusing) {
        exchange.respond(503, R"({"error":"service is full"})");
        return;
    }
    std::this_thread::sleep_for(milliseconds(this->delayMilliseconds.load()));
    int number = 0;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        ++this->executions[body];
        number = ++this->lastExecutionNumber;
    }
    if (this->responsesToDrop > 0) {
        --this->responsesToDrop;
        throw Poco::Net::NetException("fault: the response is dropped");
    }
    exchange.response.set("X-Request-Id", exchange.request.get("X-Request-Id", ""));
    exchange.respond(200, fmt::format(R"({{"operation":"{}","number":{}}})", exchange.path.at(1), number));
}

void ServiceRole::sendExecutionCounts(HttpExchange &exchange)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    int total = 0;
    int most = 0;
    for (const auto &[body, count] : this->executions) {
        total += count;
        most = std::max(most, count);
    }
    exchange.respond(200, fmt::format(R"({{"bodies":{},"executions":{},"mostForOneBody":{}}})", this->executions.size(), total, most));
}

void ServiceRole::sendExecutedBodies(HttpExchange &exchange)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::string text;
    for (const auto &[body, count] : this->executions) {
        text += fmt::format("{} {}\n", count, body);
    }
    exchange.respond(200, text, "text/plain");
}

void ServiceRole::setFaults(HttpExchange &exchange)
{
    auto input = parseObject(exchange.body());
    this->responsesToDrop = input->optValue("dropAnswers", 0);
    this->delayMilliseconds = input->optValue("delayMs", 0);
    this->isRefusing = input->optValue("refuse", false);
    exchange.respond(200, "{}");
}

}
