#include "GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace Lovageward;
using namespace std::string_literals;

namespace {

/** Three digits from 100 to 599, except 101, are a status of a response that the gateway can forward. */
const std::vector<std::string> impossibleStatuses { "000", "099", "600", "999", "101", "0200", "20", "+200", "2 00", "" };

/** Names that aren't tokens (RFC 9110, section 5.1), some of them with a name inside that frames the body to a lenient recipient. */
const std::vector<std::string> malformedNames {
    "Field Name",
    "Field\tName",
    "Field\x01Name",
    "Field\x0bName",
    "Field\x7fName",
    "Field\0Name"s,
    "Field\xc3\xa9",
    "Field\x80",
    "Field(comment)",
    "",
    "Field ",
    " Field",
    "Content Length",
    "Content-Length ",
    " Content-Length",
    "Content\x01-Length",
    "Content-Length\0"s,
    "Transfer Encoding",
    "Trans\001fer-Encoding",
    "Transfer-Encoding ",
    "\x7fTransfer-Encoding",
    "Id\x01",
};

const std::vector<std::string> paths { "/once/book", "/plain/look", "/feed/lines", "/long/plan" };

/** A gateway whose upstreams, two services and an engine, all send the same bytes as a response. */
class MalformedResponseFixture
{
public:
    MalformedResponseFixture()
    {
        this->gateway.config.updateIfNewer(GatewayFixture::makeConfig(2, 2, uploadBytes));
        this->gateway.add("s1", this->upstream, "services");
        this->gateway.add("s2", this->upstream, "services");
        this->gateway.add("e1", this->upstream, "engines");
    }

    /** Sends a request to which upstreams respond with the bytes. Returns what the caller has received when its connection ends. */
    std::string exchange(const std::string &path, const std::string &bytes, const std::string &body)
    {
        this->responseBytes = bytes;
        RawCaller caller(this->gateway);
        caller.request(path, "r1", "Connection: close\r\n", body);
        return caller.readAll();
    }

    /** Checks that a request to which upstreams respond with the bytes fails, and that none of the bytes are forwarded. */
    void checkRejected(const std::string &path, const std::string &bytes, const std::string &body = "small")
    {
        auto response = this->exchange(path, bytes, body);
        CAPTURE(path, bytes, response);
        CHECK(response.starts_with("HTTP/1.1 502 "));
        CHECK(response.find("\"unknown\"") != std::string::npos);
        CHECK(response.find("secret") == std::string::npos);
        CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
    }

    static constexpr std::size_t uploadBytes = 8'000'000;

private:
    std::string responseBytes;
    ScriptedUpstream upstream { [this](ScriptedConnection &connection, const std::string & /*request*/) {
                                   connection.send(this->responseBytes);
                                   connection.close();
                               },
                                RequestReading::HeadOnly };
    GatewayFixture gateway;
};

/** Value that would frame the body if the name were taken for the one that it resembles. */
std::string valueFor(const std::string &name)
{
    return name.find("Encoding") == std::string::npos ? "6" : "chunked";
}

}

TEST_CASE_METHOD(MalformedResponseFixture, "A response with an impossible status, final or interim, fails the request with unknown run state")
{
    const std::string sound = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Length: 6\r\n\r\nsecret";
    for (const auto &status : impossibleStatuses) {
        for (const auto &path : paths) {
            auto head = "HTTP/1.1 " + status + " Status\r\nId: r1\r\nMark: m\r\n";
            this->checkRejected(path, head + "Content-Length: 6\r\n\r\nsecret");
            this->checkRejected(path, head + "\r\nsecret");
            this->checkRejected(path, fmt::format("HTTP/1.1 {} Status\r\n\r\n{}", status, sound));
        }
    }
    this->checkRejected("/once/book", "HTTP/1.1 000 Status\r\nId: r1\r\nMark: m\r\nContent-Length: 6\r\n\r\nsecret", std::string(uploadBytes, 'x'));
}

TEST_CASE_METHOD(MalformedResponseFixture,
                 "A response with a field name that isn't a token fails the request with unknown run state, wherever the field stands")
{
    for (const auto &name : malformedNames) {
        CAPTURE(name);
        auto field = name + ": " + valueFor(name) + "\r\n";
        for (const auto &path : paths) {
            for (const std::string statusLine : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" }) {
                this->checkRejected(path, statusLine + field + "Id: r1\r\nMark: m\r\nContent-Length: 6\r\n\r\nsecret");
                this->checkRejected(path, fmt::format("{}Id: r1\r\nMark: m\r\nContent-Length: 6\r\n{}\r\nsecret", statusLine, field));
                this->checkRejected(path, fmt::format("{}Id: r1\r\nMark: m\r\n{}\r\n6\r\nsecret\r\n0\r\n\r\n", statusLine, field));
            }
            this->checkRejected(path, "HTTP/1.1 102 Processing\r\n" + field + "\r\nHTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Length: 6\r\n\r\nsecret");
        }
        for (const std::string path : { "/once/book", "/plain/look" }) {
            this->checkRejected(path, "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n0\r\n" + field + "\r\n");
        }
        for (const std::string path : { "/feed/lines", "/long/plan" }) {
            // The event is forwarded before the trailer arrives; the missing last chunk marks the stream as truncated.
            auto stream = this->exchange(
                path, "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 0\ndata: e0\n\n\r\n0\r\n" + field + "\r\n", "small");
            CAPTURE(path, stream);
            CHECK(stream.find("data: e0\n\n") != std::string::npos);
            CHECK_FALSE(stream.ends_with("0\r\n\r\n"));
        }
    }
    this->checkRejected("/once/book", "HTTP/1.1 200 OK\r\nField Name: 6\r\nId: r1\r\nMark: m\r\n\r\nsecret", std::string(uploadBytes, 'x'));
}
