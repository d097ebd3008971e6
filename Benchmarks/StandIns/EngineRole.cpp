#include "EngineRole.h"

#include <LibCore/SystemRandom.h>

#include <fmt/format.h>

#include <cstdlib>
#include <thread>

namespace Lovageward::StandIns {

namespace {

/** Reads "tokens=N" from a prompt. */
std::uint32_t tokensWanted(const std::string &body, std::uint32_t fallback)
{
    const std::string marker = "tokens=";
    auto position = body.find(marker);
    if (position == std::string::npos) {
        return fallback;
    }
    return static_cast<std::uint32_t>(std::strtoul(body.c_str() + position + marker.size(), nullptr, 10));
}

std::string textOf(std::uint32_t offset)
{
    return fmt::format("t{} ", offset);
}

}

EngineRole::EngineRole(EngineSettings settings) : settings(settings), bootId(SystemRandom().hexId()), isCold(settings.startsCold)
{
}

void EngineRole::handle(Call &call)
{
    const auto &path = call.path;
    const auto &method = call.request.getMethod();
    if (path == std::vector<std::string> { "v1", "completions" }) {
        this->start(call, false);
    } else if (path == std::vector<std::string> { "v1", "chat", "completions" }) {
        this->start(call, true);
    } else if (path.size() == 3 && path[1] == "generations" && method == "DELETE") {
        this->cancel(call, path[2]);
    } else if (path.size() == 3 && path[1] == "generations") {
        this->resume(call, path[2]);
    } else if (path == std::vector<std::string> { "load" }) {
        this->answerLoad(call);
    } else if (path == std::vector<std::string> { "orders" }) {
        this->takeOrder(call);
    } else if (path == std::vector<std::string> { "faults" }) {
        this->setFaults(call);
    } else {
        call.answer(404, "{}");
    }
}

void EngineRole::start(Call &call, bool isChat)
{
    auto body = call.body();
    auto input = parseObject(body);
    auto id = call.request.get("X-Generation-Id", SystemRandom().hexId());
    Generation generation;
    generation.request = call.request.get("X-Request-Id", "");
    generation.isChat = isChat;
    generation.isStreamed = input->optValue("stream", false);
    generation.tokens = tokensWanted(body, this->settings.defaultTokens);
    generation.startedAt = this->clock.now();
    generation.endsAt = this->timeOfToken(generation, generation.tokens);
    auto running = this->countRunning();
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto limit = this->isCold ? this->settings.coldLimit : this->settings.maximumRunning;
        if (this->faults.isRefusing || running >= limit) {
            call.answer(503, R"({"error":"engine is full"})");
            return;
        }
        this->generations[id] = generation;
        ++this->started;
    }
    if (generation.isStreamed) {
        this->stream(call, id, 0);
    } else {
        this->answerWhole(call, id);
    }
}

void EngineRole::resume(Call &call, const std::string &id)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->generations.find(id);
        if (found == this->generations.end() || found->second.isCancelled) {
            call.answer(404, R"({"error":"unknown generation"})");
            return;
        }
    }
    auto from = static_cast<std::uint32_t>(std::stoul(call.queryValue("from", "0")));
    this->stream(call, id, from);
}

void EngineRole::cancel(Call &call, const std::string &id)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->generations.find(id);
        if (found != this->generations.end()) {
            found->second.isCancelled = true;
        }
    }
    call.answer(200, "{}");
}

void EngineRole::stream(Call &call, const std::string &id, std::uint32_t from)
{
    call.response.setContentType("text/event-stream");
    call.response.setChunkedTransferEncoding(true);
    auto &output = call.response.send();
    auto offset = from;
    auto isResumed = from > 0;
    while (output.good()) {
        auto generation = this->generationOf(id);
        Faults active;
        {
            std::lock_guard<std::mutex> guard(this->mutex);
            active = this->faults;
        }
        if (generation.isCancelled) {
            throw Poco::Net::NetException("generation cancelled");
        }
        if (offset >= generation.tokens) {
            break;
        }
        auto reached = [&](int limit) { return limit >= 0 && !isResumed && offset >= static_cast<std::uint32_t>(limit); };
        if (reached(active.crashAfter)) {
            std::_Exit(1);
        }
        if (reached(active.dropAfter)) {
            throw Poco::Net::NetException("connection dropped on purpose");
        }
        if (reached(active.silentAfter)) {
            // The connection stays open and quiet until the peer gives up.
            std::this_thread::sleep_for(seconds(60));
            throw Poco::Net::NetException("silent connection closed");
        }
        auto wait = this->timeOfToken(generation, offset) - this->clock.now();
        if (wait > Duration(0)) {
            std::this_thread::sleep_for(wait);
        }
        output << this->eventFor(id, generation, offset, active);
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

void EngineRole::answerWhole(Call &call, const std::string &id)
{
    auto generation = this->generationOf(id);
    std::this_thread::sleep_for(generation.endsAt - this->clock.now());
    std::string text;
    for (std::uint32_t offset = 0; offset < generation.tokens; ++offset) {
        text += textOf(offset);
    }
    call.answer(
        200,
        fmt::format(
            R"({{"request_id":"{}","generation_id":"{}","choices":[{{"index":0,"text":"{}","finish_reason":"stop"}}]}})", generation.request, id, text));
}

std::string EngineRole::eventFor(const std::string &id, const Generation &generation, std::uint32_t offset, const Faults &active) const
{
    auto request = active.isCrossed ? std::string("another-request") : generation.request;
    auto choice = generation.isChat ? fmt::format(R"({{"index":0,"delta":{{"content":"{}"}}}})", textOf(offset))
                                    : fmt::format(R"({{"index":0,"text":"{}"}})", textOf(offset));
    return fmt::format(
        "id: {0}/{1}\ndata: {{\"request_id\":\"{2}\",\"generation_id\":\"{0}\",\"offset\":{1},\"choices\":[{3}]}}\n\n", id, offset, request, choice);
}

void EngineRole::answerLoad(Call &call)
{
    // A small fixed context per generation makes the KV use follow the number of running generations.
    constexpr std::uint32_t blocksPerGeneration = 16;
    auto running = this->countRunning();
    std::lock_guard<std::mutex> guard(this->mutex);
    auto wall = toMilliseconds(this->clock.wallNow());
    call.answer(
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
            this->started));
}

void EngineRole::takeOrder(Call &call)
{
    auto order = parseObject(call.body());
    auto number = order->optValue<std::uint64_t>("fencingNumber", 0);
    std::lock_guard<std::mutex> guard(this->mutex);
    if (number < this->highestFencingNumber) {
        call.answer(409, R"({"error":"old fencing number"})");
        return;
    }
    this->highestFencingNumber = number;
    call.answer(200, "{}");
}

void EngineRole::setFaults(Call &call)
{
    auto input = parseObject(call.body());
    std::lock_guard<std::mutex> guard(this->mutex);
    this->faults.silentAfter = input->optValue("silentAfter", -1);
    this->faults.dropAfter = input->optValue("dropAfter", -1);
    this->faults.crashAfter = input->optValue("crashAfter", -1);
    this->faults.omitEnd = input->optValue("omitEnd", false);
    this->faults.isCrossed = input->optValue("crossed", false);
    this->faults.isRefusing = input->optValue("refuse", false);
    this->isCold = input->optValue("isCold", this->isCold);
    call.answer(200, "{}");
}

EngineRole::Generation EngineRole::generationOf(const std::string &id)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->generations.at(id);
}

std::uint32_t EngineRole::countRunning()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::uint32_t running = 0;
    // Finished generations stay available to resume for a minute.
    std::erase_if(this->generations, [&](const auto &entry) { return entry.second.endsAt + minutes(1) < now; });
    for (const auto &[id, generation] : this->generations) {
        if (!generation.isCancelled && now < generation.endsAt) {
            ++running;
        }
    }
    return running;
}

TimePoint EngineRole::timeOfToken(const Generation &generation, std::uint32_t offset) const
{
    return generation.startedAt + this->settings.firstTokenDelay + this->settings.tokenGap * offset;
}

}
