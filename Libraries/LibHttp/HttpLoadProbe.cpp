#include <LibHttp/HttpLoadProbe.h>

#include <LibCore/Error.h>
#include <LibHttp/SimpleHttp.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

UpstreamPhase phaseOf(const std::string &text)
{
    if (text == "warm") {
        return UpstreamPhase::Warm;
    }
    if (text == "leaving") {
        return UpstreamPhase::Leaving;
    }
    // An unknown phase must not get full load.
    return UpstreamPhase::Cold;
}

}

HttpLoadProbe::HttpLoadProbe(const Clock &clock) : clock(clock)
{
}

LoadReport HttpLoadProbe::probe(const std::string &address, TimePoint deadline)
{
    try {
        auto sentAt = this->clock.now();
        auto answer = exchange(this->clock, address, "GET", "/load", "", deadline);
        constexpr int statusOk = 200;
        if (answer.status != statusOk) {
            throw Error(ResultCode::UpstreamError, RunState::NotRun, fmt::format("the load report of {} has status {}", address, answer.status));
        }
        return this->parse(answer.body, sentAt);
    } catch (const Poco::TimeoutException &) {
        throw Error(ResultCode::UpstreamSilent, RunState::NotRun, fmt::format("{} sent no load report in time", address));
    } catch (const Poco::IOException &error) {
        throw Error(ResultCode::UpstreamUnavailable, RunState::NotRun, fmt::format("{} is out of reach: {}", address, error.displayText()));
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::UpstreamError, RunState::NotRun, fmt::format("the load report of {} can't be read: {}", address, error.displayText()));
    }
}

LoadReport HttpLoadProbe::parse(const std::string &body, TimePoint sentAt) const
{
    Poco::JSON::Parser parser;
    auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    LoadReport report;
    report.bootId = BootId(object->getValue<std::string>("bootId"));
    report.phase = phaseOf(object->getValue<std::string>("phase"));
    report.running = object->getValue<std::uint32_t>("running");
    report.waiting = object->optValue<std::uint32_t>("waiting", 0);
    report.kvBlocksUsed = BlockCount(object->optValue<std::uint64_t>("kvBlocksUsed", 0));
    report.kvBlocksTotal = BlockCount(object->optValue<std::uint64_t>("kvBlocksTotal", 0));
    report.coldLimit = object->optValue<std::uint32_t>("coldLimit", 1);
    report.measuredAt = sentAt - this->ageOf(object->optValue<std::int64_t>("reportedAtMs", 0));
    return report;
}

Duration HttpLoadProbe::ageOf(std::int64_t reportedAtMilliseconds) const
{
    if (reportedAtMilliseconds == 0) {
        return Duration(0);
    }
    // The clocks of two hosts differ a little, so an age below the tolerance says nothing and a huge one is a wrong clock.
    constexpr auto tolerance = milliseconds(500);
    constexpr auto longestAge = minutes(1);
    auto age = std::chrono::duration_cast<Duration>(this->clock.wallNow() - fromMilliseconds<WallTime>(reportedAtMilliseconds));
    if (age < tolerance) {
        return Duration(0);
    }
    return std::min<Duration>(age, longestAge);
}

}
