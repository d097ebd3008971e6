#include <LibHttp/HttpLogService.h>

#include <LibCore/Error.h>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <msgpack.hpp>

#include <algorithm>
#include <tuple>

namespace Lovageward {

namespace {

constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;
constexpr std::size_t maximumReceiptBytes = 4096;
// A read returns at most a few hundred records, of which only checkpoints are larger than a few KiB.
constexpr std::size_t maximumReadBytes = std::size_t(64) * 1024 * 1024;

Error unavailable(const std::string &reason)
{
    return Error(ResultCode::LogUnavailable, RunState::NotRun, fmt::format("the log is unavailable: {}", reason));
}

Error outcomeUnknown(const std::string &reason)
{
    return Error(ResultCode::OutcomeUnknown, RunState::Unknown, fmt::format("the append may have taken effect: {}", reason));
}

AppendReceipt parseReceipt(const std::string &body)
{
    Poco::JSON::Parser parser;
    auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    auto offset = Offset(object->getValue<std::uint64_t>("offset"));
    return AppendReceipt { offset, fromMilliseconds<LogTime>(object->getValue<std::int64_t>("appendedAt")) };
}

LogReadResult parseRecords(const std::string &body)
{
    using WireRecord = std::tuple<std::uint64_t, std::int64_t, std::string>;
    using WireResult = std::tuple<std::uint64_t, std::uint64_t, std::vector<WireRecord>>;
    auto handle = msgpack::unpack(body.data(), body.size());
    auto [firstRetained, end, records] = handle.get().as<WireResult>();
    LogReadResult result;
    result.firstRetained = Offset(firstRetained);
    result.end = Offset(end);
    for (auto &[offset, appendedAtMs, payload] : records) {
        result.records.push_back(LogRecord { Offset(offset), fromMilliseconds<LogTime>(appendedAtMs), std::move(payload) });
    }
    return result;
}

}

HttpLogService::HttpLogService(HttpLogSettings settings, const Clock &clock, Counters &counters)
    : settings(std::move(settings))
    , clock(clock)
    , appendFailures(counters.counter("lovageward_log_append_failures_total"))
    , unknownAppends(counters.counter("lovageward_log_append_unknown_total"))
    , readFailures(counters.counter("lovageward_log_read_failures_total"))
{
}

HttpLogService::~HttpLogService() = default;

AppendReceipt HttpLogService::append(const StreamName &stream, const std::string &payload, TimePoint deadline)
{
    auto isWritten = false;
    Exchange request { "POST", "/log/" + stream.value(), payload, maximumReceiptBytes };
    try {
        auto answer = this->exchange(request, deadline, isWritten);
        if (answer.status == okStatus) {
            return parseReceipt(answer.body);
        }
        if (answer.status == unavailableStatus) {
            isWritten = false;
        }
        throw Poco::IOException(fmt::format("status {}", answer.status));
    } catch (const std::exception &error) {
        const auto *details = dynamic_cast<const Poco::Exception *>(&error);
        auto reason = details != nullptr ? details->displayText() : std::string(error.what());
        if (isWritten) {
            this->unknownAppends.add();
            throw outcomeUnknown(reason);
        }
        this->appendFailures.add();
        throw unavailable(reason);
    }
}

LogReadResult HttpLogService::read(const StreamName &stream, Offset from, std::size_t maximumRecords, TimePoint waitUntil)
{
    auto wait = std::max(Duration(0), waitUntil - this->clock.now());
    auto waitMs = std::chrono::duration_cast<milliseconds>(wait).count();
    auto path = fmt::format("/log/{}?from={}&max={}&waitMs={}", stream.value(), from.value(), maximumRecords, waitMs);
    auto isWritten = false;
    try {
        auto deadline = this->clock.now() + wait + this->settings.readSlack;
        auto answer = this->exchange(Exchange { "GET", path, "", maximumReadBytes }, deadline, isWritten);
        if (answer.status != okStatus) {
            throw Poco::IOException(fmt::format("status {}", answer.status));
        }
        return parseRecords(answer.body);
    } catch (const std::exception &error) {
        this->readFailures.add();
        const auto *details = dynamic_cast<const Poco::Exception *>(&error);
        throw unavailable(details != nullptr ? details->displayText() : std::string(error.what()));
    }
}

HttpLogService::Answer HttpLogService::exchange(const Exchange &exchange, TimePoint deadline, bool &isWritten)
{
    auto address = fmt::format("{}:{}", this->settings.host, this->settings.port);
    auto session = this->takeIdle();
    if (!session) {
        session = Session::connect(this->clock, address, deadline);
    }
    RequestHead request { Method(exchange.method), RequestTarget(exchange.path), {} };
    request.fields.add("Host", address);
    if (!exchange.body.empty()) {
        request.fields.add("Content-Type", "application/octet-stream");
    }
    if (this->clock.now() >= deadline) {
        throw Poco::TimeoutException("the deadline has passed");
    }
    isWritten = true;
    auto response = session->exchange(std::move(request), exchange.body, deadline);
    Answer answer { response.status, session->readWhole(exchange.maximumAnswerBytes, deadline) };
    if (session->isKeptAlive()) {
        this->keep(std::move(session));
    }
    return answer;
}

std::unique_ptr<HttpLogService::Session> HttpLogService::takeIdle()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    while (!this->idle.empty()) {
        auto candidate = std::move(this->idle.back());
        this->idle.pop_back();
        if (candidate.closeAt > now && !candidate.session->isUnusable()) {
            return std::move(candidate.session);
        }
    }
    return nullptr;
}

void HttpLogService::keep(std::unique_ptr<Session> session)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->idle.size() < this->settings.maximumIdleConnections) {
        this->idle.push_back(IdleSession { std::move(session), this->clock.now() + this->settings.maximumIdleTime });
    }
}

}
