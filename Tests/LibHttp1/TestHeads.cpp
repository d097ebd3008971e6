#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/HeadEncoder.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

// Guards against a parser of mail messages that decodes encoded words (RFC 2047) in field values, with the line breaks that they hold.
TEST_CASE("Field values are decoded and encoded byte for byte")
{
    for (const std::string value : { "=?utf-8?B?YQ0KYjogYw==?=", "=?utf-8?Q?a=0D=0Ab:_c?=", "caf\xc3\xa9 \xff", "a \t b", "" }) {
        CAPTURE(value);
        auto request = decodeRequestHead("GET / HTTP/1.1\r\nHost: a\r\nNote: \t " + value + " \r\n\r\n");
        CHECK(request.fields.get("note") == value);
        CHECK(encodeHead(request) == "GET / HTTP/1.1\r\nHost: a\r\nNote: " + value + "\r\n\r\n");
        auto response = decodeResponseHead("HTTP/1.1 200 OK\r\nNote:" + value + "\r\n\r\n");
        CHECK(response.fields.get("NOTE") == value);
        CHECK(encodeHead(response) == "HTTP/1.1 200 OK\r\nNote: " + value + "\r\n\r\n");
    }
}

TEST_CASE("A name, value or first line that would end its line or the head can't be encoded")
{
    HeaderFields fields;
    for (const auto &text : std::vector<std::string> { "a\r\nb: c", "a\nb", "a\rb", std::string("a\0b", 3), "a\x7f" }) {
        CAPTURE(text);
        CHECK_THROWS_AS(fields.add("Name", text), Error);
        CHECK_THROWS_AS(fields.set(text, "value"), Error);
        CHECK_THROWS_AS(RequestTarget("/" + text), Error);
        CHECK_THROWS_AS(Method(text), Error);
        CHECK_THROWS_AS(ReasonPhrase(text), Error);
    }
    CHECK(fields.empty());
    CHECK_THROWS_AS(fields.add("", "value"), Error);
    CHECK_THROWS_AS(fields.add("a: b", "value"), Error);
    CHECK_THROWS_AS(RequestTarget("/a b"), Error);
    CHECK_THROWS_AS(RequestTarget(""), Error);
    CHECK_THROWS_AS(Method("GET /"), Error);
    CHECK_THROWS_AS(encodeHead(ResponseHead { 0, ReasonPhrase("None"), {} }), Error);
}

TEST_CASE("Control characters in any part of a head are rejected")
{
    for (const auto &character : std::vector<std::string> { std::string("\0", 1), "\x01", "\r", "\n", "\x7f" }) {
        CAPTURE(character);
        CHECK_THROWS_AS(decodeRequestHead("G" + character + "T / HTTP/1.1\r\n\r\n"), Error);
        CHECK_THROWS_AS(decodeRequestHead("GET /" + character + " HTTP/1.1\r\n\r\n"), Error);
        CHECK_THROWS_AS(decodeRequestHead("GET / HTTP/1.1" + character + "\r\n\r\n"), Error);
        CHECK_THROWS_AS(decodeRequestHead("GET / HTTP/1.1\r\nNo" + character + "te: a\r\n\r\n"), Error);
        CHECK_THROWS_AS(decodeRequestHead("GET / HTTP/1.1\r\nNote: a" + character + "b\r\n\r\n"), Error);
        CHECK_THROWS_AS(decodeResponseHead("HTTP/1.1 200 O" + character + "K\r\n\r\n"), Error);
        CHECK_THROWS_AS(decodeResponseHead("HTTP/1.1 200 OK\r\nNote: a" + character + "b\r\n\r\n"), Error);
    }
}

// Guards against first lines that recipients read in different ways, and against a host that they could choose differently.
TEST_CASE("Request lines and hosts that break the grammar are rejected")
{
    CHECK(decodeRequestHead("GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n").target.value() == "/a?b=c");
    CHECK(decodeRequestHead("GET / HTTP/1.0\r\n\r\n").version == HttpVersion::Http10);
    CHECK(decodeRequestHead("GET / HTTP/1.1\r\nHost:\r\n\r\n").fields.has("Host"));
    CHECK(decodeRequestHead("GET / HTTP/1.1\r\nHost: [fd00::1]:80\r\n\r\n").fields.get("Host") == "[fd00::1]:80");
    for (const std::string line : { "GET  / HTTP/1.1",
                                    "GET /  HTTP/1.1",
                                    " GET / HTTP/1.1",
                                    "GET / HTTP/1.1 ",
                                    "GET\t/ HTTP/1.1",
                                    "GET / a HTTP/1.1",
                                    "GET /",
                                    "GET",
                                    "",
                                    "GET / HTTP/1.2",
                                    "GET / HTTP/2.0",
                                    "GET / http/1.1",
                                    "GET / HTTP/1.1x",
                                    "G:T / HTTP/1.1",
                                    "GET /#a HTTP/1.1",
                                    "GET /\xc3\xa9 HTTP/1.1",
                                    "CONNECT a:80 HTTP/1.1" }) {
        CAPTURE(line);
        CHECK_THROWS_AS(decodeRequestHead(line + "\r\nHost: a\r\n\r\n"), Error);
    }
    for (const std::string lines :
         { "", "Host: a\r\nHost: a\r\n", "Host: a\r\nhost: b\r\n", "Host: a, b\r\n", "Host: a b\r\n", "Host: a/b\r\n", "Host: u@a\r\n" }) {
        CAPTURE(lines);
        CHECK_THROWS_AS(decodeRequestHead("GET / HTTP/1.1\r\n" + lines + "\r\n"), Error);
    }
}

TEST_CASE("Status lines that break the grammar are rejected")
{
    CHECK(decodeResponseHead("HTTP/1.1 200 \r\n\r\n").reason.value().empty());
    CHECK(decodeResponseHead("HTTP/1.0 599 A b\r\n\r\n").status == 599);
    for (const std::string line : { "HTTP/1.1 200",
                                    "HTTP/1.1  200 OK",
                                    "HTTP/1.1 20 OK",
                                    "HTTP/1.1 2000 OK",
                                    "HTTP/1.1 +20 OK",
                                    "HTTP/1.1 000 OK",
                                    "HTTP/1.1 099 OK",
                                    "HTTP/1.1 101 OK",
                                    "HTTP/1.1 600 OK",
                                    "HTTP/1.2 200 OK",
                                    "HTTP/2 200 OK",
                                    "http/1.1 200 OK",
                                    "ICY 200 OK",
                                    "" }) {
        CAPTURE(line);
        CHECK_THROWS_AS(decodeResponseHead(line + "\r\n\r\n"), Error);
    }
}

TEST_CASE("The list of a Connection field is read over all of its lines, without regard to case")
{
    auto head = decodeRequestHead("GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\nConnection: x , CLOSE\r\nX: 1\r\nY: 1\r\n\r\n");
    CHECK_FALSE(head.isKeepAlive());
    CHECK(isHopByHopField(head.fields, "x"));
    CHECK(isHopByHopField(head.fields, "transfer-encoding"));
    CHECK_FALSE(isHopByHopField(head.fields, "Y"));
    CHECK_FALSE(isHopByHopField(head.fields, "los"));
}
