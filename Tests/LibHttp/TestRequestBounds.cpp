#include "ServerFixture.h"

#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>

#include <array>

using namespace Lovageward;

namespace {

/** Sends the bytes, closes the sending side if `isClosed`, and returns the answer's error name, its status, or "closed" without an answer. */
std::string answerTo(const ServerFixture &node, const std::string &bytes, bool isClosed)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", node.server->port()));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (isClosed) {
        socket.shutdownSend();
    }
    std::string answer;
    try {
        for (std::array<char, 4096> block {}; answer.find("run_state") == std::string::npos && answer.find("200 OK") == std::string::npos;) {
            auto count = socket.receiveBytes(block.data(), block.size());
            if (count <= 0) {
                break;
            }
            answer.append(block.data(), static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception &) {
        return "closed";
    }
    auto name = answer.find("\"name\":\"");
    if (name == std::string::npos) {
        return answer.empty() ? "closed" : answer.substr(9, 3);
    }
    CHECK(answer.find("\"run_state\":\"not_run\"") != std::string::npos);
    return answer.substr(name + 8, answer.find('"', name + 8) - name - 8);
}

}

TEST_CASE("A request is bounded in size, and a broken or contradictory one never reaches an upstream", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.settings.maximumBodyBytes = 100;
    node.settings.maximumHeaderBytes = 1000;
    node.settings.maximumHeaderFields = 8;
    node.start();
    const std::string head = "POST /v1/services/lookup HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n";
    std::string manyFields = head;
    std::string flood = head;
    for (int field = 0; field < 200; ++field) {
        (field < 9 ? manyFields : flood) += "X-" + std::to_string(field) + ": 1\r\n";
    }
    struct Row
    {
        const char *failure;
        std::string bytes;
        bool isClosed;
        std::string result;
    };
    for (const auto &row : std::vector<Row> {
             { "whole request", head + "Content-Length: 5\r\n\r\nhello", false, "200" },
             { "no body", head + "\r\n", false, "200" },
             { "caller leaves within the head", head, true, "closed" },
             { "caller leaves within the body", head + "Content-Length: 5\r\n\r\nhell", true, "closed" },
             { "header flood without an end", head + std::string(20000, 'x'), false, "HeadersTooLarge" },
             { "large header", head + "X: " + std::string(2000, 'x') + "\r\n\r\n", false, "HeadersTooLarge" },
             { "header beyond POCO's limit", head + "X: " + std::string(9000, 'x') + "\r\n\r\n", false, "HeadersTooLarge" },
             { "too many header fields", manyFields + "\r\n", false, "HeadersTooLarge" },
             { "more header fields than POCO takes", flood + "\r\n", false, "HeadersTooLarge" },
             { "announced body too large", head + "Content-Length: 101\r\n\r\n", false, "BodyTooLarge" },
             { "negative length", head + "Content-Length: -1\r\n\r\n", false, "BadRequest" },
             // POCO refuses a length beyond 64 bits before the size can be judged, so the code is BadRequest and no longer BodyTooLarge.
             { "length beyond any number", head + "Content-Length: 99999999999999999999999\r\n\r\n", false, "BadRequest" },
             { "length that is no number", head + "Content-Length: 5x\r\n\r\nhello", false, "BadRequest" },
             { "length and chunks, as in request smuggling", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello", false, "BadRequest" },
             { "chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false, "BadRequest" },
             { "no HTTP at all", std::string(64, '\x16') + "\r\n\r\n", false, "BadRequest" },
         }) {
        INFO(row.failure);
        auto before = upstream.behaviour.calls.load();
        CHECK(answerTo(node, row.bytes, row.isClosed) == row.result);
        CHECK(upstream.behaviour.calls - before == (row.result == "200" ? 1 : 0));
    }
}

TEST_CASE("A sender that never ends its request is refused at the deadline, also if it goes on sending", "[http]")
{
    StandInUpstream upstream;
    ManualClock clock;
    ServerFixture node(upstream.address(), &clock);
    node.start();
    const std::string head = "POST /v1/services/lookup HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n";
    for (const auto &[failure, start, drip] : std::vector<std::tuple<const char *, std::string, std::string>> {
             { "request line never ends", "PO", "" },
             { "head never ends", head, "" },
             { "body never ends", head + "Content-Length: 5\r\n\r\nhell", "" },
             { "header in single bytes forever", head + "X: ", "x" },
             { "body in single bytes forever", head + "Content-Length: 4000\r\n\r\n", "x" },
         }) {
        INFO(failure);
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", node.server->port()));
        socket.sendBytes(start.data(), static_cast<int>(start.size()));
        // Each step lets the node look; the verdict doesn't depend on how often it does.
        while (!socket.poll(Poco::Timespan(milliseconds(20).count()), Poco::Net::Socket::SELECT_READ)) {
            clock.advance(seconds(1));
            socket.sendBytes(drip.data(), static_cast<int>(drip.size()));
        }
        std::string answer(4096, '\0');
        auto count = socket.receiveBytes(answer.data(), static_cast<int>(answer.size()));
        answer.resize(static_cast<std::size_t>(std::max(count, 0)));
        CHECK(answer.find("RequestTooSlow") != std::string::npos);
        CHECK(answer.find("408") != std::string::npos);
    }
    CHECK(upstream.behaviour.calls == 0);
}

TEST_CASE("A caller that leaves within a stream frees its thread and its place, and its generation is kept for a resume", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.start();
    upstream.behaviour.pauseAfter = 2;
    {
        auto connection = node.session();
        const std::string body = R"({"model":"story","stream":true,"messages":[{"role":"user","content":"hi"}]})";
        Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", Poco::Net::HTTPRequest::HTTP_1_1);
        request.set("Authorization", "Bearer key");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        connection->sendRequest(request) << body;
        Poco::Net::HTTPResponse head;
        connection->receiveResponse(head);
    }
    // The engine is silent, so only the closed connection can end the request.
    CHECK(node.server->stop(node.clock.now() + minutes(5)));
    // The engine had sent tokens, so the hand-over and not the server decides when the generation is cancelled.
    CHECK(node.handover.abandoned == 1);
    CHECK(upstream.behaviour.cancelled == 0);
    CHECK(node.dispatcher.released == 1);
}

// Guards against heads that are read as mail: encoded words (RFC 2047) were decoded, with the line breaks that they hold, and a length with a space before its
// colon wasn't taken for one, so that the body was read as the next request.
TEST_CASE("A request whose head breaks the grammar of HTTP is refused, and an encoded word is no key and no length", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.start();
    const std::string head = "POST /v1/services/lookup HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n";
    for (const std::string line : { "Content-Length : 5\r\n",
                                    "Content-Length\t: 5\r\n",
                                    " Content-Length: 5\r\n",
                                    "Note: a\r\n Content-Length: 5\r\n",
                                    "Note: a\nContent-Length: 5\r\n",
                                    "Note: a\rb\r\nContent-Length: 5\r\n",
                                    "Content-Length: =?utf-8?Q?5?=\r\n",
                                    "Content-Length: 5\r\nContent-Length: 5\r\n",
                                    "Transfer-Encoding: =?utf-8?Q?chunked?=\r\nContent-Length: 5\r\n" }) {
        CAPTURE(line);
        CHECK(answerTo(node, head + line + "\r\nhello", false) == "BadRequest");
    }
    CHECK(answerTo(node, "POST /v1/services/lookup HTTP/1.1\r\nHost: a\r\nAuthorization: =?utf-8?Q?Bearer_key?=\r\n\r\n", false) == "Unauthenticated");
    CHECK(answerTo(node, "POST /v1/services/lookup HTTP/1.1\nHost: a\nAuthorization: Bearer key\n\r\n\r\n", false) == "BadRequest");
    CHECK(upstream.behaviour.calls == 0);
}
