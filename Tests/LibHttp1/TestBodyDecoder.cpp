#include <LibCore/Error.h>
#include <LibHttp1/BodyDecoder.h>
#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/MessageFraming.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace Lovageward;

namespace {

struct Decoded
{
    std::string body;
    std::string remaining;
    BodyDecoder::State state = BodyDecoder::State::NeedsMoreData;
};

Decoded decodeInPieces(BodyFraming framing, std::uint64_t length, const std::string &bytes, std::size_t piece)
{
    BodyDecoder decoder(framing, length);
    Decoded decoded;
    decoded.state = decoder.decode(decoded.remaining, decoded.body);
    for (std::size_t from = 0; from < bytes.size() && decoded.state == BodyDecoder::State::NeedsMoreData; from += piece) {
        decoded.remaining += bytes.substr(from, piece);
        decoded.state = decoder.decode(decoded.remaining, decoded.body);
        if (decoded.state != BodyDecoder::State::NeedsMoreData) {
            decoded.remaining += bytes.substr(std::min(bytes.size(), from + piece));
        }
    }
    return decoded;
}

}

TEST_CASE("A chunked body is decoded for every split of its bytes, and bytes after it are left in the buffer")
{
    const std::string bytes = "5;x=y\r\nhello\r\n1\r\n \r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\nNEXT";
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
        auto decoded = decodeInPieces(BodyFraming::Chunked, 0, bytes, piece);
        CHECK(decoded.state == BodyDecoder::State::Complete);
        CHECK(decoded.body == "hello 0123456789");
        CHECK(decoded.remaining == "NEXT");
    }
}

TEST_CASE("Malformed chunks are rejected")
{
    for (const std::string bytes : { "x\r\n", "-1\r\n", "5\r\nhelloX\r\n", "\r\n", "ffffffffffffffffff\r\n", "5 x5\r\nhell" }) {
        CAPTURE(bytes);
        CHECK(decodeInPieces(BodyFraming::Chunked, 0, bytes, bytes.size()).state == BodyDecoder::State::Malformed);
    }
}

// Guards against chunks and trailers that recipients read in different ways.
TEST_CASE("Chunk extensions and trailer fields that break the grammar are rejected")
{
    auto stateOf = [](const std::string &bytes) { return decodeInPieces(BodyFraming::Chunked, 0, bytes, bytes.size()).state; };
    for (const std::string extension : { "", ";a", ";a=b", " ; a = b", ";a=\"b;\\\"c\"", ";a;b=c;d=\"\"" }) {
        CAPTURE(extension);
        CHECK(stateOf(fmt::format("1{0}\r\nx\r\n0{0}\r\nTrailer: a b\r\n\r\n", extension)) == BodyDecoder::State::Complete);
    }
    for (const std::string extension :
         { " ", "\t", ";", ";=", ";a=", ";a=\"b", ";a=b c", ";a\nb", ";a=\rb", ";a=\"\n\"", "x;", ",a", "=a", "\n", ";a=\"b\\\"" }) {
        CAPTURE(extension);
        CHECK(stateOf("1" + extension + "\r\nx\r\n0\r\n\r\n") == BodyDecoder::State::Malformed);
    }
    for (const std::string trailer : { "Trailer : a", " Trailer: a", "Trailer", ": a", "Trailer: a\nb", "Trailer: a\rb", "Trailer: a\r\n folded" }) {
        CAPTURE(trailer);
        CHECK(stateOf("0\r\n" + trailer + "\r\n\r\n") == BodyDecoder::State::Malformed);
    }
    for (const std::string size : { "+1", "0x1", " 1", "1h", "1\n", "00000000000000001" }) {
        CAPTURE(size);
        CHECK(stateOf(size + "\r\nx\r\n0\r\n\r\n") == BodyDecoder::State::Malformed);
    }
}

TEST_CASE("A body ends after its Content-Length, or when the connection is closed if it has none")
{
    auto decoded = decodeInPieces(BodyFraming::ContentLength, 4, "bodyNEXT", 3);
    CHECK(decoded.state == BodyDecoder::State::Complete);
    CHECK(decoded.body == "body");
    CHECK(decoded.remaining == "NEXT");
    CHECK(decodeInPieces(BodyFraming::None, 0, "NEXT", 4).state == BodyDecoder::State::Complete);
    CHECK(decodeInPieces(BodyFraming::ContentLength, 0, "", 1).state == BodyDecoder::State::Complete);

    BodyDecoder untilClose(BodyFraming::UntilClose, 0);
    std::string received = "abc";
    std::string body;
    CHECK(untilClose.decode(received, body) == BodyDecoder::State::NeedsMoreData);
    CHECK(untilClose.handleConnectionClosed() == BodyDecoder::State::Complete);
    BodyDecoder cutOff(BodyFraming::ContentLength, 4);
    received = "ab";
    cutOff.decode(received, body);
    CHECK(cutOff.handleConnectionClosed() == BodyDecoder::State::Malformed);
}

TEST_CASE("A request with an ambiguous body length is rejected")
{
    auto framingOf = [](const std::string &fields) { return requestFraming(decodeRequestHead("POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n")).type; };
    CHECK(framingOf("") == BodyFraming::None);
    CHECK(framingOf("Content-Length: 5\r\n") == BodyFraming::ContentLength);
    CHECK(framingOf("Transfer-Encoding: chunked\r\n") == BodyFraming::Chunked);
    CHECK_THROWS_AS(framingOf("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), Error);
    CHECK_THROWS_AS(framingOf("Content-Length: 5\r\nContent-Length: 6\r\n"), Error);
    CHECK_THROWS_AS(framingOf("Content-Length: 5, 5\r\n"), Error);
    CHECK_THROWS_AS(framingOf("Content-Length: -1\r\n"), Error);
    CHECK_THROWS_AS(framingOf("Transfer-Encoding: gzip, chunked\r\n"), Error);
}

TEST_CASE("Hop-by-hop fields aren't forwarded")
{
    auto head
        = decodeResponseHead("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: Keep-Alive, Secret\r\nKeep-Alive: timeout=5\r\nSecret: s\r\nMark: m\r\n\r\n");
    auto fields = forwardedHead(head).fields;
    REQUIRE(fields.size() == 1);
    CHECK(fields.begin()->name.value() == "Mark");
}
