#include "PlatformRole.h"

#include <fmt/format.h>
#include <msgpack.hpp>

#include <algorithm>
#include <thread>

namespace Lovageward::StandIns {

namespace {

std::string encodeRecords(const LogReadResult &result)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(result.firstRetained.value());
    packer.pack(result.end.value());
    packer.pack_array(static_cast<std::uint32_t>(result.records.size()));
    for (const auto &record : result.records) {
        packer.pack_array(3);
        packer.pack(record.offset.value());
        packer.pack(toMilliseconds(record.appendedAt));
        packer.pack_bin(static_cast<std::uint32_t>(record.payload.size()));
        packer.pack_bin_body(record.payload.data(), static_cast<std::uint32_t>(record.payload.size()));
    }
    return { buffer.data(), buffer.size() };
}

}

PlatformRole::PlatformRole(double appendsPerSecond, double weightLoadsPerMinute, Duration retention, std::string hostsJson)
    : log(this->clock, retention)
    , appendRate(this->clock, appendsPerSecond, appendsPerSecond / 10)
    , weightRate(this->clock, weightLoadsPerMinute / 60, std::max(1.0, weightLoadsPerMinute / 60))
    , hosts(std::move(hostsJson))
{
}

void PlatformRole::handle(Call &call)
{
    auto part = call.path.empty() ? std::string() : call.path.front();
    if (part == "faults") {
        this->setFaults(call);
        return;
    }
    if (part == "stats") {
        this->answerStats(call);
        return;
    }
    if (this->isOut()) {
        call.answer(503, R"({"error":"outage"})");
        return;
    }
    if (part == "log" && call.path.size() == 2) {
        this->handleLog(call);
    } else if (part == "hosts") {
        this->handleHosts(call);
    } else if (part == "weights") {
        auto isAllowed = this->weightRate.tryTake(1);
        call.answer(isAllowed ? 200 : 429, "{}");
    } else {
        call.answer(404, "{}");
    }
}

void PlatformRole::handleLog(Call &call)
{
    StreamName stream(call.path.at(1));
    if (call.request.getMethod() == "POST") {
        this->append(call, stream);
    } else {
        this->read(call, stream);
    }
}

void PlatformRole::append(Call &call, const StreamName &stream)
{
    auto payload = call.body();
    this->waitForAppendSlot();
    auto receipt = this->log.append(stream, payload, this->clock.now());
    ++this->appends;
    this->appendedBytes += payload.size();
    if (this->answersToLose > 0) {
        --this->answersToLose;
        // The record is stored, but the connection closes without an answer.
        call.response.setKeepAlive(false);
        throw Poco::Net::NetException("answer dropped on purpose");
    }
    call.answer(200, fmt::format(R"({{"offset":{},"appendedAt":{}}})", receipt.offset.value(), toMilliseconds(receipt.appendedAt)));
}

void PlatformRole::read(Call &call, const StreamName &stream)
{
    constexpr std::int64_t longestWaitMilliseconds = 30'000;
    auto from = std::stoull(call.queryValue("from", "1"));
    auto maximum = std::stoull(call.queryValue("max", "1000"));
    auto wait = std::min<std::int64_t>(std::stoll(call.queryValue("waitMs", "0")), longestWaitMilliseconds);
    auto result = this->log.read(stream, Offset(from), maximum, this->clock.now() + milliseconds(wait));
    auto body = encodeRecords(result);
    this->readBytes += body.size();
    call.answer(200, body, "application/msgpack");
}

void PlatformRole::handleHosts(Call &call)
{
    std::lock_guard<std::mutex> guard(this->hostsMutex);
    if (call.request.getMethod() == "PUT") {
        this->hosts = call.body();
    }
    call.answer(200, this->hosts);
}

void PlatformRole::setFaults(Call &call)
{
    auto faults = parseObject(call.body());
    if (faults->has("outageMs")) {
        auto end = this->clock.now() + milliseconds(faults->getValue<int>("outageMs"));
        this->outageEndsAt = end.time_since_epoch().count();
    }
    this->answersToLose = faults->optValue("loseAnswers", this->answersToLose.load());
    this->delayMilliseconds = faults->optValue("delayMs", this->delayMilliseconds.load());
    call.answer(200, "{}");
}

void PlatformRole::answerStats(Call &call) const
{
    call.answer(200,
                fmt::format(R"({{"appends":{},"appendedBytes":{},"readBytes":{}}})", this->appends.load(), this->appendedBytes.load(), this->readBytes.load()));
}

bool PlatformRole::isOut() const
{
    return this->clock.now().time_since_epoch().count() < this->outageEndsAt;
}

void PlatformRole::waitForAppendSlot()
{
    std::this_thread::sleep_for(milliseconds(this->delayMilliseconds.load()));
    while (!this->appendRate.tryTake(1)) {
        std::this_thread::sleep_for(this->appendRate.availableAt(1) - this->clock.now());
    }
}

}
