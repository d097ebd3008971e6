#include "ScriptedChannel.h"

#include <LibCore/Error.h>
#include <LibCore/SeededRandom.h>
#include <LibHttp/BodyReader.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/RequestReader.h>

#include <catch2/catch.hpp>

#include <sstream>

using namespace Lovageward;

namespace {

using Pieces = std::deque<ScriptedChannel::Piece>;

/** Reads one request and writes the result's name, or "closed" if the caller went away. */
std::string readRequest(ManualClock &clock, const Pieces &pieces, bool staysOpen, const CallerServerSettings &settings)
{
    HttpConnection connection(std::make_unique<ScriptedChannel>(clock, pieces, staysOpen));
    CallerRequest request;
    try {
        return RequestReader(clock, settings).read(connection, request) ? "ok:" + request.body : "closed";
    } catch (const Error &error) {
        CHECK(error.runState() == RunState::NotRun);
        return std::string(resultName(error.code()));
    }
}

Pieces byteByByte(const std::string &text, Duration pause)
{
    Pieces pieces;
    for (char character : text) {
        pieces.push_back({ pause, std::string(1, character) });
    }
    return pieces;
}

std::string readBody(const std::string &headText, const std::string &bytes, std::uint64_t seed)
{
    ManualClock clock;
    SeededRandom random(seed);
    Pieces pieces;
    for (std::size_t position = 0; position < bytes.size();) {
        auto size = seed == 0 ? bytes.size() : 1 + random.below(4);
        pieces.push_back({ milliseconds(random.below(3)), bytes.substr(position, size) });
        position += size;
    }
    HttpConnection connection(std::make_unique<ScriptedChannel>(clock, pieces));
    std::istringstream stream("HTTP/1.1 200 OK\r\n" + headText + "\r\n");
    Poco::Net::HTTPResponse head;
    head.read(stream);
    BodyReader reader(connection, head);
    std::string body;
    while (true) {
        // A deadline that passes often checks that reading goes on where it stopped.
        auto status = reader.readSome(body, clock.now() + milliseconds(1));
        if (status == ReadStatus::Ended || status == ReadStatus::Truncated || status == ReadStatus::Malformed) {
            return body + (status == ReadStatus::Ended ? "|ended" : status == ReadStatus::Truncated ? "|truncated" : "|malformed");
        }
    }
}

}

TEST_CASE("A request is bounded in time and size, also for a sender that never stops", "[http]")
{
    CallerServerSettings settings;
    settings.maximumBodyBytes = 100;
    settings.maximumHeaderBytes = 1000;
    settings.maximumHeaderFields = 8;
    const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n";
    const std::string whole = head + "Content-Length: 5\r\n\r\nhello";
    std::string manyFields = head;
    for (int field = 0; field < 9; ++field) {
        manyFields += "X-" + std::to_string(field) + ": 1\r\n";
    }
    struct Row
    {
        const char *failure;
        Pieces pieces;
        bool staysOpen;
        std::string result;
    };
    for (const auto &row : std::vector<Row> {
             { "whole request", { { Duration(0), whole } }, true, "ok:hello" },
             { "request in single bytes", byteByByte(whole, milliseconds(100)), true, "ok:hello" },
             { "no body", { { Duration(0), head + "\r\n" } }, true, "ok:" },
             { "one byte a second forever", byteByByte(head + std::string(500, 'x'), seconds(1)), true, "RequestTooSlow" },
             { "head never ends", { { Duration(0), head } }, true, "RequestTooSlow" },
             { "body never ends", { { Duration(0), head + "Content-Length: 5\r\n\r\nhell" } }, true, "RequestTooSlow" },
             { "slow body after a fast head", { { Duration(0), head + "Content-Length: 5\r\n\r\n" }, { seconds(11), "hello" } }, true, "RequestTooSlow" },
             { "caller leaves within the head", { { Duration(0), head } }, false, "closed" },
             { "caller leaves within the body", { { Duration(0), head + "Content-Length: 5\r\n\r\nhell" } }, false, "closed" },
             { "header flood without an end", { { Duration(0), head + std::string(5000, 'x') } }, true, "HeadersTooLarge" },
             { "large header", { { Duration(0), head + "X: " + std::string(2000, 'x') + "\r\n\r\n" } }, true, "HeadersTooLarge" },
             { "too many header fields", { { Duration(0), manyFields + "\r\n" } }, true, "HeadersTooLarge" },
             { "announced body too large", { { Duration(0), head + "Content-Length: 101\r\n\r\n" } }, true, "BodyTooLarge" },
             { "length beyond any number", { { Duration(0), head + "Content-Length: 99999999999999999999999\r\n\r\n" } }, true, "BodyTooLarge" },
             { "negative length", { { Duration(0), head + "Content-Length: -1\r\n\r\n" } }, true, "BadRequest" },
             { "length and chunks, as in request smuggling",
               { { Duration(0), head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello" } },
               true,
               "BadRequest" },
             { "no HTTP at all", { { Duration(0), "\x16\x03\x01\r\n\r\n" } }, true, "BadRequest" },
         }) {
        DYNAMIC_SECTION(row.failure)
        {
            ManualClock clock;
            CHECK(readRequest(clock, row.pieces, row.staysOpen, settings) == row.result);
            CHECK(clock.now() - TimePoint() <= settings.slowSenderTimeout);
        }
    }
}

TEST_CASE("A response body is read the same in pieces of any size and never past its end", "[http]")
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const auto &[head, bytes, result] : std::vector<std::tuple<std::string, std::string, std::string>> {
             { chunked, "5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\nnext", "helloabc|ended" },
             { chunked, "5;x=y\r\nhello\r\n0\r\nTrailer: 1\r\n\r\n", "hello|ended" },
             { chunked, "A\r\n0123456789\r\n0\r\n\r\n", "0123456789|ended" },
             { chunked, "5\r\nhello\r\n", "hello|truncated" },
             { chunked, "5\r\nhel", "hel|truncated" },
             { chunked, "5\r\nhelloX\r\n0\r\n\r\n", "hello|malformed" },
             { chunked, "x\r\n", "|malformed" },
             { chunked, "-5\r\nhello", "|malformed" },
             { chunked, "fffffffffffffffff\r\n", "|malformed" },
             { chunked, std::string(3000, '0'), "|malformed" },
             { "Content-Length: 5\r\n", "hellonext", "hello|ended" },
             { "Content-Length: 5\r\n", "hel", "hel|truncated" },
             { "Content-Length: x\r\n", "hel", "|malformed" },
             { "Content-Length: 0\r\n", "next", "|ended" },
             { "", "hello", "hello|ended" },
         }) {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            INFO(head << bytes.substr(0, 100) << ", seed " << seed);
            CHECK(readBody(head, bytes, seed) == result);
        }
    }
}

TEST_CASE("A pooled connection is not used after 30 s, after its peer closed it or after its address was dropped", "[http]")
{
    ManualClock clock;
    ConnectionPool pool(clock);
    auto openConnection = [&clock](bool staysOpen) { return std::make_unique<HttpConnection>(std::make_unique<ScriptedChannel>(clock, Pieces(), staysOpen)); };
    pool.giveBack("a", openConnection(true));
    clock.advance(seconds(30) - milliseconds(1));
    CHECK(pool.take("b") == nullptr);
    CHECK(pool.take("a") != nullptr);
    CHECK(pool.take("a") == nullptr);

    pool.giveBack("a", openConnection(true));
    clock.advance(seconds(30));
    CHECK(pool.take("a") == nullptr);

    pool.giveBack("a", openConnection(false));
    CHECK(pool.take("a") == nullptr);

    pool.giveBack("a", openConnection(true));
    pool.drop("a");
    CHECK(pool.take("a") == nullptr);

    pool.giveBack("a", openConnection(true));
    clock.advance(seconds(31));
    pool.giveBack("b", openConnection(true));
    CHECK(pool.idleCount() == 1);
}
