#include "GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** "a\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1\r\nId: hidden\r\n\r\n" as an encoded word of RFC 2047, in both of its encodings. */
const std::vector<std::string> encodedWords {
    "=?utf-8?B?YQ0KQ29udGVudC1MZW5ndGg6IDANCg0KR0VUIC9oaWRkZW4gSFRUUC8xLjENCklkOiBoaWRkZW4NCg0K?=",
    "=?utf-8?Q?a=0D=0AContent-Length:_0=0D=0A=0D=0AGET_/hidden_HTTP/1.1=0D=0AId:_hidden=0D=0A=0D=0A?=",
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
            caller.request(path, "r1", "Note: " + word + "\r\nOther: before " + word + " after\r\n", "the body");
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
