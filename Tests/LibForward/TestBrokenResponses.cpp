#include "GatewayFixture.h"
#include "StreamScripts.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** Size of a request body in bytes; more than the send buffer of the gateway and the receive buffer of the upstream hold together. */
constexpr std::size_t uploadBytes = 8'000'000;

const std::string events = "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n";

const std::vector<std::string> paths { "/once/book", "/plain/look", "/feed/lines", "/long/plan" };

bool isStream(const std::string &path)
{
    return path.starts_with("/feed/") || path.starts_with("/long/");
}

/** A gateway whose upstream, a service and an engine, reads the head of a request only, and runs the script of the test. */
class BrokenResponseFixture
{
public:
    BrokenResponseFixture()
    {
        this->gateway.config.updateIfNewer(GatewayFixture::makeConfig(2, 2, uploadBytes));
        this->gateway.add("s1", this->upstream, "services");
        this->gateway.add("e1", this->upstream, "engines");
    }

    /** Sends a request with the body. Returns what the caller has received when its connection ends. */
    std::string play(const std::string &path, const std::string &body, ScriptedUpstream::Script upstreamScript)
    {
        this->script = std::move(upstreamScript);
        RawCaller caller(this->gateway);
        caller.request(path, "r1", "Connection: close\r\n", body);
        return caller.readAll();
    }

    std::string playUpload(const std::string &path, ScriptedUpstream::Script upstreamScript)
    {
        return this->play(path, std::string(uploadBytes, 'x'), std::move(upstreamScript));
    }

    /** Opened when the caller has its response. */
    Gate received;

private:
    ScriptedUpstream::Script script;
    ScriptedUpstream upstream { [this](ScriptedConnection &connection, const std::string &request) {
                                   // A copy, because the next play may begin before the script has returned.
                                   auto current = this->script;
                                   current(connection, request);
                               },
                                RequestReading::HeadOnly };
    GatewayFixture gateway;
};

/** A way in which an upstream breaks its connection off. */
struct Ending
{
    std::string name;
    std::function<void(ScriptedConnection &connection)> end;
};

const std::vector<Ending> endings {
    { "reset", [](ScriptedConnection &connection) { connection.reset(); } },
    { "close with unread bytes", [](ScriptedConnection &connection) { connection.close(); } },
    { "end of the sent bytes, then reset",
      [](ScriptedConnection &connection) {
          connection.finishSending();
          connection.reset();
      } },
};

/** Checks that a caller can tell that the response it received isn't a whole one. */
void checkBroken(const std::string &response)
{
    CAPTURE(response);
    if (response.starts_with("HTTP/1.1 200")) {
        // Events that had arrived are forwarded; the missing last chunk marks the stream as truncated.
        CHECK(response.find("Transfer-Encoding: chunked") != std::string::npos);
        CHECK(response.find("data: e0\n\n") != std::string::npos);
        CHECK_FALSE(response.ends_with("0\r\n\r\n"));
        return;
    }
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("\"unknown\"") != std::string::npos);
    CHECK(response.find("part of") == std::string::npos);
}

}

// Guards against a part of a response that a caller takes for the whole: the kernel reports a reset once, here to the write of the request, and the receive
// after it looks like the end of a response without length.
TEST_CASE_METHOD(BrokenResponseFixture, "A response without length whose connection is reset while the request is being written is broken")
{
    auto checkUpload = [this](const std::string &path, const std::string &statusLine, const std::string &body, const Ending &ending) {
        CAPTURE(path, statusLine, body, ending.name);
        checkBroken(this->playUpload(path, [&](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send(statusLine + "Id: r1\r\nMark: m\r\n\r\n" + body);
            ending.end(connection);
        }));
    };
    for (const auto &path : paths) {
        auto part = isStream(path) ? events : std::string("part of");
        for (const auto &ending : endings) {
            checkUpload(path, "HTTP/1.1 200 OK\r\n", part, ending);
            checkUpload(path, "HTTP/1.1 200 OK\r\n", "", ending);
        }
        checkUpload(path, "HTTP/1.0 200 OK\r\n", part, endings.front());
        checkUpload(path, "HTTP/1.1 200 OK\r\nConnection: close\r\n", part, endings.front());
        checkUpload(path, "HTTP/1.1 404 None\r\n", part, endings.front());
    }
}

// The end of the bytes is the upstream's own, and no error follows it, since the upstream reads the rest of the request.
TEST_CASE_METHOD(BrokenResponseFixture, "A response without length that is ended in order while the request is being written is whole")
{
    for (const auto &path : paths) {
        CAPTURE(path);
        auto response = this->playUpload(path, [](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send("HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\n" + events);
            connection.finishSending();
            connection.awaitClose();
        });
        CAPTURE(response);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.find("data: e1\n\n") != std::string::npos);
        CHECK((response.ends_with("0\r\n\r\n") || response.ends_with(events)));
    }
}

// The upstream takes no byte of the request for TCP_USER_TIMEOUT, and the write gets ETIMEDOUT.
TEST_CASE_METHOD(BrokenResponseFixture, "A response without length whose upstream takes no more of the request until the connection times out is broken")
{
    auto response = this->playUpload("/once/book", [this](ScriptedConnection &connection, const std::string & /*request*/) {
        connection.send("HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\npart of");
        this->received.await();
    });
    this->received.open();
    checkBroken(response);
}

TEST_CASE_METHOD(BrokenResponseFixture,
                 "A whole response with length or chunks is forwarded although its connection is reset while the request is being written")
{
    auto checkUpload = [this](const std::string &path, const std::string &status, bool isChunked, const Ending &ending) {
        CAPTURE(path, status, isChunked, ending.name);
        auto response = this->playUpload(path, [&](ScriptedConnection &connection, const std::string & /*request*/) {
            auto framing = isChunked ? std::string("Transfer-Encoding: chunked") : fmt::format("Content-Length: {}", events.size());
            auto body = isChunked ? fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", events.size(), events) : events;
            connection.send("HTTP/1.1 " + status + "\r\nId: r1\r\nMark: m\r\n" + framing + "\r\n\r\n" + body);
            ending.end(connection);
        });
        CAPTURE(response);
        CHECK(response.starts_with("HTTP/1.1 " + status));
        CHECK(response.find("data: e1\n\n") != std::string::npos);
        CHECK((response.ends_with("0\r\n\r\n") || response.ends_with(events)));
    };
    for (const auto &path : paths) {
        for (auto isChunked : { false, true }) {
            for (const auto &ending : endings) {
                checkUpload(path, "200 OK", isChunked, ending);
            }
            checkUpload(path, "413 Too Long", isChunked, endings.front());
        }
    }
}

TEST_CASE_METHOD(BrokenResponseFixture, "A response that breaks off at a reset is broken, whatever its framing")
{
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", events.size(), events);
    for (const auto &rest : {
             "\r\n" + events,
             "\r\n" + events + std::string(400'000, 'b'),
             "Content-Length: 500\r\n\r\n" + events,
             "Transfer-Encoding: chunked\r\n\r\n" + chunk,
             "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n",
             "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\nTrailer: value\r\n",
         }) {
        for (const auto &path : paths) {
            CAPTURE(rest.substr(0, 100), path);
            checkBroken(this->play(path, "small", [&](ScriptedConnection &connection, const std::string & /*request*/) {
                connection.send("HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n" + rest);
                connection.reset();
            }));
        }
    }
}
