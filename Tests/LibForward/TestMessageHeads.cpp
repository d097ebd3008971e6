#include "GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** "a\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1\r\nId: hidden\r\n\r\n" as an encoded word of RFC 2047, in both of its encodings. */
const std::vector<std::string> encodedWords {
    "=?utf-8?B?YQ0KQ29udGVudC1MZW5ndGg6IDANCg0KR0VUIC9oaWRkZW4gSFRUUC8xLjENCklkOiBoaWRkZW4NCg0K?=",
    "=?utf-8?Q?a=0D=0AContent-Length:_0=0D=0A=0D=0AGET_/hidden_HTTP/1.1=0D=0AId:_hidden=0D=0A=0D=0A?=",
};

/** Field lines that recipients read in different ways (RFC 9112, sections 5.1 and 5.2). Each states a body of eight bytes to some of them. */
const std::vector<std::string> ambiguousLines {
    "Content-Length : 8\r\n",
    "Content-Length\t: 8\r\n",
    " Content-Length: 8\r\n",
    "Note: a\r\n Content-Length: 8\r\n",
    "Note: a\r\n\tContent-Length: 8\r\n",
    "Content-Length\x0b: 8\r\n",
    "Content-Length\r: 8\r\n",
    "Note: a\nContent-Length: 8\r\n",
    "Note: a\rContent-Length: 8\r\n",
    "Content-Length 8\r\n",
    ": 8\r\n",
    "Content\xc2\xa0Length: 8\r\n",
};

}

// Guards against requests smuggled in encoded words (RFC 2047), which have no meaning in HTTP: decoded, their line breaks ended the head.
TEST_CASE("Encoded words in the header fields of a request reach the upstream as the caller sent them")
{
    for (const auto &word : encodedWords) {
        for (const auto *path : { "/once/book", "/plain/look", "/long/plan" }) {
            CAPTURE(word, path);
            ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(400, request, "seen"); });
            GatewayFixture fixture;
            fixture.add("s1", upstream, std::string(path) == "/long/plan" ? "engines" : "services");
            RawCaller caller(fixture);
            caller.request(path, "r1", fmt::format("Note: {0}\r\nOther: before {0} after\r\n", word), "the body");
            caller.readUntil("seen");
            REQUIRE(upstream.requests().size() == 1);
            auto received = upstream.requests().front();
            CHECK(received.find("\r\nNote: " + word + "\r\n") != std::string::npos);
            CHECK(received.find("\r\nOther: before " + word + " after\r\n") != std::string::npos);
            CHECK(received.ends_with("\r\n\r\nthe body"));
            CHECK(received.find("hidden HTTP") == std::string::npos);
        }
    }
}

// Guards against the same on the way back: decoded, the line breaks ended the head of the response early, and its body became bytes of no response.
TEST_CASE("Encoded words in the header fields of a response reach the caller as the upstream sent them")
{
    for (const auto &word : encodedWords) {
        CAPTURE(word);
        ScriptedUpstream service([&](ScriptedConnection &connection, const std::string &request) {
            connection.respond(200, request, "the body", "Mark: m\r\nNote: " + word + "\r\n");
        });
        ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
            connection.send(fmt::format(
                "HTTP/1.1 200 OK\r\nId: {}\r\nMark: m\r\nNote: {}\r\nTransfer-Encoding: chunked\r\n\r\n", ScriptedConnection::field(request, "Id"), word));
            connection.sendEvent(0);
            connection.endStream();
        });
        GatewayFixture fixture;
        fixture.add("s1", service, "services");
        fixture.add("e1", engine, "engines");
        RawCaller caller(fixture);
        caller.request("/once/book", "r1");
        auto response = caller.readUntil("the body");
        CHECK(response.find("\r\nNote: " + word + "\r\n") != std::string::npos);
        CHECK(response.ends_with("\r\n\r\nthe body"));
        CHECK(response.find("hidden HTTP") == std::string::npos);

        RawCaller streaming(fixture);
        streaming.request("/long/plan", "r2");
        auto stream = streaming.readUntil("0\r\n\r\n");
        CHECK(stream.find("\r\nNote: " + word + "\r\n") != std::string::npos);
        CHECK(stream.find("hidden HTTP") == std::string::npos);
    }
}

// Guards against smuggled requests: a length with a space before its colon wasn't taken for one, and the body was read as the next request.
TEST_CASE("A request with a field line that recipients read in different ways is rejected, and its connection is closed")
{
    for (const auto &line : ambiguousLines) {
        CAPTURE(line);
        ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
        GatewayFixture fixture;
        fixture.add("s1", upstream, "services");
        RawCaller caller(fixture);
        caller.send("POST /once/book HTTP/1.1\r\nHost: test\r\nId: r1\r\n" + line
                    + "\r\nPOST /once/hidden HTTP/1.1\r\nHost: test\r\nId: r2\r\nContent-Length: 0\r\n\r\n");
        auto response = caller.readAll();
        CHECK(response.starts_with("HTTP/1.1 400"));
        CHECK(response.find("\"not_run\"") != std::string::npos);
        CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(upstream.requests().empty());
    }
}

// Guards against a body that is forwarded with another length than the upstream meant.
TEST_CASE("A response with a field line that recipients read in different ways fails the request with unknown run state")
{
    for (const auto &line : ambiguousLines) {
        for (const auto *path : { "/once/book", "/long/plan" }) {
            CAPTURE(line, path);
            ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string & /*request*/) {
                connection.send("HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n" + line + "\r\nthe body");
            });
            GatewayFixture fixture;
            fixture.add("s1", upstream, std::string(path) == "/long/plan" ? "engines" : "services");
            RawCaller caller(fixture);
            caller.request(path, "r1");
            auto response = caller.readUntil("run_state");
            CHECK(response.starts_with("HTTP/1.1 502"));
            CHECK(response.find("\"unknown\"") != std::string::npos);
        }
    }
}
