#include <LibCore/Counters.h>
#include <LibCore/EventLog.h>
#include <LibCore/LatencyHistogram.h>
#include <LibCore/SystemClock.h>

#include <catch2/catch.hpp>

#include <string>
#include <unistd.h>

using namespace Lovageward;

namespace {

class Pipe
{
public:
    Pipe()
    {
        REQUIRE(::pipe(static_cast<int *>(this->ends)) == 0);
    }

    ~Pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writeEnd() const
    {
        return this->ends[1];
    }

    std::string read() const
    {
        std::string text(65536, '\0');
        auto count = ::read(this->ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return text;
    }

private:
    int ends[2] = { -1, -1 };
};

std::size_t linesIn(const std::string &text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

}

TEST_CASE("A line is one JSON object with the event and its fields")
{
    Pipe pipe;
    SystemClock clock;
    {
        JsonEventLog log(clock, pipe.writeEnd(), 100);
        log.write("sent", { { "request", "a\"b\\c\n" }, { "arrival", 2U }, { "share", 0.25 }, { "whole", true }, { "name", std::string("n") } });
    }
    auto text = pipe.read();
    CHECK(text.find(R"("event":"sent","request":"a\"b\\c\u000a","arrival":2,"share":0.250,"whole":true,"name":"n"})") != std::string::npos);
    CHECK(text.starts_with("{\"time\":"));
    CHECK(linesIn(text) == 1);
}

TEST_CASE("Under load the volume is bounded and the dropped lines are counted")
{
    Pipe pipe;
    SystemClock clock;
    {
        JsonEventLog log(clock, pipe.writeEnd(), 10);
        for (int line = 0; line < 5000; ++line) {
            log.write("busy", {});
        }
    }
    auto text = pipe.read();
    CHECK(linesIn(text) < 1000);
    CHECK(text.find("\"event\":\"log_dropped\"") != std::string::npos);
}

TEST_CASE("A reader that takes nothing doesn't block the writers")
{
    Pipe pipe;
    SystemClock clock;
    JsonEventLog log(clock, pipe.writeEnd(), 1e9);
    const std::string longText(1000, 'x');
    for (int line = 0; line < 20'000; ++line) {
        log.write("busy", { { "text", longText } });
    }
    SUCCEED();
}

TEST_CASE("A histogram counts each value in all buckets that reach it")
{
    Counters counters;
    LatencyHistogram histogram(counters, "answer_ms", "route=\"long\"");
    histogram.observe(milliseconds(30));
    histogram.observe(milliseconds(700));
    auto text = counters.exposition();
    CHECK(text.find("answer_ms_bucket{route=\"long\",le=\"20\"} 0") != std::string::npos);
    CHECK(text.find("answer_ms_bucket{route=\"long\",le=\"50\"} 1") != std::string::npos);
    CHECK(text.find("answer_ms_bucket{route=\"long\",le=\"1000\"} 2") != std::string::npos);
    CHECK(text.find("answer_ms_bucket{route=\"long\",le=\"+Inf\"} 2") != std::string::npos);
    CHECK(text.find("answer_ms_count{route=\"long\"} 2") != std::string::npos);
    CHECK(text.find("answer_ms_sum{route=\"long\"} 730") != std::string::npos);
}
