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
