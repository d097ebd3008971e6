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

void PlatformRole::handle(HttpExchange &exchange)
{
    auto part = exchange.path.empty() ? std::string() : exchange.path.front();
    if (part == "faults") {
        this->setFaults(exchange);
        return;
    }
    if (part == "stats") {
        this->sendStats(exchange);
        return;
    }
    if (this->isDown()) {
        exchange.respond(503, R"({"error":"outage"})");
        return;
    }
    if (part == "log" && exchange.path.size() == 2) {
        this->handleLog(exchange);
    } else if (part == "hosts") {
        this->handleHostList(exchange);
    } else if (part == "weights") {
        auto isAllowed = this->weightRate.tryTake(1);
        exchange.respond(isAllowed ? 200 : 429, "{}");
    } else {
        exchange.respond(404, "{}");
    }
}

void PlatformRole::handleLog(HttpExchange &exchange)
{
    StreamName stream(exchange.path.at(1));
    if (exchange.request.getMethod() == "POST") {
        this->append(exchange, stream);
    } else {
        this->read(exchange, stream);
    }
}

void PlatformRole::append(HttpExchange &exchange, const StreamName &stream)
{
    auto payload = exchange.body();
    this->waitForAppendSlot();
    auto receipt = this->log.append(stream, payload, this->clock.now());
    ++this->appends;
    this->appendedBytes += payload.size();
    if (this->responsesToLose > 0) {
        --this->responsesToLose;
        // The record is stored, but the connection is closed without a response.
        exchange.response.setKeepAlive(false);
        throw Poco::Net::NetException("fault: the response is dropped");
    }
    exchange.respond(200, fmt::format(R"({{"offset":{},"appendedAt":{}}})", receipt.offset.value(), toMilliseconds(receipt.appendedAt)));
}

void PlatformRole::read(HttpExchange &exchange, const StreamName &stream)
{
    constexpr std::int64_t longestWaitMilliseconds = 30'000;
    auto from = std::stoull(exchange.queryValue("from", "1"));
    auto maximum = std::stoull(exchange.queryValue("max", "1000"));
    auto wait = std::min<std::int64_t>(std::stoll(exchange.queryValue("waitMs", "0")), longestWaitMilliseconds);
    auto result = this->log.read(stream, Offset(from), maximum, this->clock.now() + milliseconds(wait));
    auto body = encodeRecords(result);
    this->readBytes += body.size();
    exchange.respond(200, body, "application/msgpack");
}

void PlatformRole::handleHostList(HttpExchange &exchange)
{
    std::lock_guard<std::mutex> guard(this->hostsMutex);
    if (exchange.request.getMethod() == "PUT") {
        this->hosts = exchange.body();
    }
    exchange.respond(200, this->hosts);
}

void PlatformRole::setFaults(HttpExchange &exchange)
{
    auto faults = parseObject(exchange.body());
    if (faults->has("outageMs")) {
        auto end = this->clock.now() + milliseconds(faults->getValue<int>("outageMs"));
        this->outageEndsAt = end.time_since_epoch().count();
    }
    this->responsesToLose = faults->optValue("loseAnswers", this->responsesToLose.load());
    this->delayMilliseconds = faults->optValue("delayMs", this->delayMilliseconds.load());
    exchange.respond(200, "{}");
}

void PlatformRole::sendStats(HttpExchange &exchange) const
{
    exchange.respond(
        200, fmt::format(R"({{"appends":{},"appendedBytes":{},"readBytes":{}}})", this->appends.load(), this->appendedBytes.load(), this->readBytes.load()));
}

bool PlatformRole::isDown() const
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
