#include "EngineRole.h"

#include <LibCore/SystemRandom.h>

#include <fmt/format.h>

#include <cstdlib>
#include <thread>

namespace Lovageward::StandIns {

namespace {

/** Returns N of "tokens=N" in the prompt, or the fallback if the prompt has no such text. */
std::uint32_t parseTokenCount(const std::string &body, std::uint32_t fallback)
{
    const std::string marker = "tokens=";
    auto position = body.find(marker);
    if (position == std::string::npos) {
        return fallback;
    }
    return static_cast<std::uint32_t>(std::strtoul(body.c_str() + position + marker.size(), nullptr, 10));
}

std::string formatTokenText(std::uint32_t offset)
{
    return fmt::format("t{} ", offset);
}

}

EngineRole::EngineRole(EngineSettings settings) : settings(settings), bootId(SystemRandom().hexId()), isCold(settings.startsCold)
{
}

void EngineRole::handle(HttpExchange &exchange)
{
    const auto &path = exchange.path;
    const auto &method = exchange.request.getMethod();
    if (path == std::vector<std::string> { "v1", "completions" }) {
        this->startGeneration(exchange, false);
    } else if (path == std::vector<std::string> { "v1", "chat", "completions" }) {
        this->startGeneration(exchange, true);
    } else if (path.size() == 3 && path[1] == "generations" && method == "DELETE") {
        this->cancelGeneration(exchange, path[2]);
    } else if (path.size() == 3 && path[1] == "generations") {
        this->resumeGeneration(exchange, path[2]);
    } else if (path == std::vector<std::string> { "load" }) {
        this->sendLoadReport(exchange);
    } else if (path == std::vector<std::string> { "orders" }) {
        this->handleOrder(exchange);
    } else if (path == std::vector<std::string> { "faults" }) {
        this->setFaults(exchange);
    } else {
        exchange.respond(404, "{}");
    }
}

void EngineRole::startGeneration(HttpExchange &exchange, bool isChat)
{
    auto body = exchange.body();
    auto input = parseObject(body);
    auto id = exchange.request.get("X-Generation-Id", SystemRandom().hexId());
    Generation generation;
    generation.request = exchange.request.get("X-Request-Id", "");
    generation.isChat = isChat;
    generation.isStreamed = input->optValue("stream", false);
    generation.tokens = parseTokenCount(body, this->settings.defaultTokens);
    generation.startedAt = this->clock.now();
    generation.endsAt = this->computeTokenTime(generation, generation.tokens);
    auto running = this->countRunningGenerations();
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto limit = this->isCold ? this->settings.coldLimit : this->settings.maximumRunning;
        if (this->faults.isRefusing || running >= limit) {
            exchange.respond(503, R"({"error":"engine is full"})");
            return;
        }
        this->generations[id] = generation;
        ++this->startedGenerations;
    }
    if (generation.isStreamed) {
        this->streamTokens(exchange, id, 0);
    } else {
        this->sendCompletion(exchange, id);
    }
}

void EngineRole::resumeGeneration(HttpExchange &exchange, const std::string &id)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->generations.find(id);
        if (found == this->generations.end() || found->second.isCancelled) {
            exchange.respond(404, R"({"error":"unknown generation"})");
            return;
        }
    }
    auto from = static_cast<std::uint32_t>(std::stoul(exchange.queryValue("from", "0")));
    this->streamTokens(exchange, id, from);
}

void EngineRole::cancelGeneration(HttpExchange &exchange, const std::string &id)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->generations.find(id);
        if (found != this->generations.end()) {
            found->second.isCancelled = true;
        }
    }
    exchange.respond(200, "{}");
}

void EngineRole::streamTokens(HttpExchange &exchange, const std::string &id, std::uint32_t from)
{
    exchange.response.setContentType("text/event-stream");
    exchange.response.setChunkedTransferEncoding(true);
    auto &output = exchange.response.send();
    auto offset = from;
    auto isResumed = from > 0;
    while (output.good()) {
        auto generation = this->findGeneration(id);
        Faults active;
        {
            std::lock_guard<std::mutex> guard(this->mutex);
            active = this->faults;
        }
        if (generation.isCancelled) {
            throw Poco::Net::NetException("the generation was cancelled");
        }
        if (offset >= generation.tokens) {
            break;
        }
        auto reached = [&](int limit) { return limit >= 0 && !isResumed && offset >= static_cast<std::uint32_t>(limit); };
        if (reached(active.crashAfter)) {
            std::_Exit(1);
        }
        if (reached(active.dropAfter)) {
            throw Poco::Net::NetException("fault: the connection is dropped");
        }
        if (reached(active.silentAfter)) {
            // The connection stays open without sending anything until the peer gives up.
            std::this_thread::sleep_for(seconds(60));
            throw Poco::Net::NetException("fault: the silent connection is closed");
        }
        auto wait = this->computeTokenTime(generation, offset) - this->clock.now();
        if (wait > Duration(0)) {
            std::this_thread::sleep_for(wait);
        }
        output << this->formatEvent(id, generation, offset, active);
        output.flush();
        ++offset;
    }
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        if (this->faults.omitEnd) {
            return;
        }
    }
    output << "data: [DONE]\n\n";
    output.flush();
}

void EngineRole::sendCompletion(HttpExchange &exchange, const std::string &id)
{
    auto generation = this->findGeneration(id);
    std::this_thread::sleep_for(generation.endsAt - this->clock.now());
    std::string text;
    for (std::uint32_t offset = 0; offset < generation.tokens; ++offset) {
        text += formatTokenText(offset);
    }
    exchange.respond(
        200,
        fmt::format(
            R"({{"request_id":"{}","generation_id":"{}","choices":[{{"index":0,"text":"{}","finish_reason":"stop"}}]}})", generation.request, id, text));
}

std::string EngineRole::formatEvent(const std::string &id, const Generation &generation, std::uint32_t offset, const Faults &active) const
{
    auto request = active.hasForeignRequestId ? std::string("another-request") : generation.request;
    auto choice = generation.isChat ? fmt::format(R"({{"index":0,"delta":{{"content":"{}"}}}})", formatTokenText(offset))
                                    : fmt::format(R"({{"index":0,"text":"{}"}})", formatTokenText(offset));
    return fmt::format(
        "id: {0}/{1}\ndata: {{\"request_id\":\"{2}\",\"generation_id\":\"{0}\",\"offset\":{1},\"choices\":[{3}]}}\n\n", id, offset, request, choice);
}

void EngineRole::sendLoadReport(HttpExchange &exchange)
{
    // Each generation counts with a small fixed context, so that the reported KV use is proportional to the number of running generations.
    constexpr std::uint32_t blocksPerGeneration = 16;
    auto running = this->countRunningGenerations();
    std::lock_guard<std::mutex> guard(this->mutex);
    auto wall = toMilliseconds(this->clock.wallNow());
    exchange.respond(
        200,
        fmt::format(
            R"({{"bootId":"{}","phase":"{}","running":{},"waiting":0,"kvBlocksUsed":{},"kvBlocksTotal":{},"coldLimit":{},"reportedAtMs":{},"started":{}}})",
            this->bootId,
            this->isCold ? "cold" : "warm",
            running,
            running * blocksPerGeneration,
            this->settings.maximumRunning * blocksPerGeneration,
            this->settings.coldLimit,
            wall,
            this->startedGenerations));
}

void EngineRole::handleOrder(HttpExchange &exchange)
{
    auto order = parseObject(exchange.body());
    auto number = order->optValue<std::uint64_t>("fencingNumber", 0);
    std::lock_guard<std::mutex> guard(this->mutex);
    if (number < this->highestFencingNumber) {
        exchange.respond(409, R"({"error":"old fencing number"})");
        return;
    }
    this->highestFencingNumber = number;
    exchange.respond(200, "{}");
}

void EngineRole::setFaults(HttpExchange &exchange)
{
    auto input = parseObject(exchange.body());
    std::lock_guard<std::mutex> guard(this->mutex);
    this->faults.silentAfter = input->optValue("silentAfter", -1);
    this->faults.dropAfter = input->optValue("dropAfter", -1);
    this->faults.crashAfter = input->optValue("crashAfter", -1);
    this->faults.omitEnd = input->optValue("omitEnd", false);
    this->faults.hasForeignRequestId = input->optValue("crossed", false);
    this->faults.isRefusing = input->optValue("refuse", false);
    this->isCold = input->optValue("isCold", this->isCold);
    exchange.respond(200, "{}");
}

EngineRole::Generation EngineRole::findGeneration(const std::string &id)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->generations.at(id);
}

std::uint32_t EngineRole::countRunningGenerations()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::uint32_t running = 0;
    // A finished generation can be resumed for another minute.
    std::erase_if(this->generations, [&](const auto &entry) { return entry.second.endsAt + minutes(1) < now; });
    for (const auto &[id, generation] : this->generations) {
        if (!generation.isCancelled && now < generation.endsAt) {
            ++running;
        }
    }
    return running;
}

TimePoint EngineRole::computeTokenTime(const Generation &generation, std::uint32_t offset) const
{
    return generation.startedAt + this->settings.firstTokenDelay + this->settings.tokenGap * offset;
}

}
