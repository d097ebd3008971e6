#include "ServerFixture.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

const std::string chat = "/v1/chat/completions";
const std::string streamedChat = R"({"model":"story","stream":true,"messages":[{"role":"user","content":"hi"}]})";
const std::string wholeChat = R"({"model":"story","messages":[{"role":"user","content":"hi"}]})";

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** Offsets of the events in a stream, then the names of typed events or "done". */
std::string outline(const std::string &body)
{
    std::string text;
    std::istringstream stream(body);
    std::string typed;
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("event: ")) {
            typed = line.substr(7);
        } else if (line.starts_with("id: ")) {
            text += (typed.empty() ? "" : typed) + line.substr(line.rfind('/')) + " ";
        } else if (line == "data: [DONE]") {
            text += "done";
        }
    }
    return text;
}

std::string lastId(const std::string &body)
{
    auto start = body.rfind("id: ") + 4;
    return body.substr(start, body.find('\n', start) - start);
}

}

TEST_CASE("Bad input gets its number, not_run and no upstream", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.start();
    struct Row
    {
        const char *failure;
        std::string method;
        std::string path;
        std::string body;
        std::map<std::string, std::string> fields;
        int status;
        std::string name;
    };
    std::map<std::string, std::string> flood;
    for (int field = 0; field < 100; ++field) {
        flood["X-Flood-" + std::to_string(field)] = "1";
    }
    for (const auto &row : std::vector<Row> {
             { "oversized body", "POST", chat, std::string(5000, 'x'), {}, 413, "BodyTooLarge" },
             { "broken JSON", "POST", chat, "{\"model\":", {}, 400, "MalformedJson" },
             { "unknown class", "POST", chat, R"({"model":"none","messages":[{"role":"user"}]})", {}, 404, "UnknownWorkClass" },
             { "class without this model",
               "POST",
               chat,
               R"({"model":"none","messages":[{"role":"user"}]})",
               { { "X-Work-Class", "story" } },
               404,
               "UnknownModel" },
             { "service class as generation", "POST", chat, R"({"model":"lookup","messages":[{"role":"user"}]})", {}, 400, "BadRequest" },
             { "generation class as service", "POST", "/v1/services/story", "{}", {}, 400, "BadRequest" },
             { "unknown service", "POST", "/v1/services/none", "{}", {}, 404, "UnknownWorkClass" },
             { "wrong key", "POST", chat, streamedChat, { { "Authorization", "Bearer wrong" } }, 401, "Unauthenticated" },
             { "no bearer key", "POST", chat, streamedChat, { { "Authorization", "Basic a2V5" } }, 401, "Unauthenticated" },
             { "header flood", "POST", chat, streamedChat, flood, 431, "HeadersTooLarge" },
             { "wrong method", "GET", chat, "", {}, 400, "BadRequest" },
             { "unknown path", "POST", "/v2/x", "", {}, 404, "NotFound" },
             { "forged resume token", "POST", chat, "", { { "Last-Event-ID", "abc/3" } }, 400, "ResumeTokenInvalid" },
             { "booking without key", "POST", "/v1/services/booking", "{}", {}, 400, "IdempotencyKeyMissing" },
         }) {
        INFO(row.failure);
        auto reply = node.send(row.method, row.path, row.body, row.fields);
        CHECK(reply.status == row.status);
        CHECK(contains(reply.body, "\"name\":\"" + row.name + "\""));
        CHECK(contains(reply.body, "\"run_state\":\"not_run\""));
    }
    CHECK(node.dispatcher.acquired == 0);
    CHECK(upstream.behaviour.started + upstream.behaviour.calls == 0);
}

TEST_CASE("A streamed and a collected answer arrive whole, also when the upstream connection breaks", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.start();
    for (int breakAfter : { -1, 0, 3 }) {
        INFO("connection breaks after " << breakAfter);
        upstream.behaviour.breakAfter = breakAfter;
        auto streamed = node.send("POST", chat, streamedChat);
        CHECK(streamed.status == 200);
        CHECK(outline(streamed.body) == "/0 /1 /2 /3 /4 done");
        upstream.behaviour.breakAfter = breakAfter;
        auto collected = node.send("POST", chat, wholeChat);
        CHECK(collected.status == 200);
        CHECK(contains(collected.body, "\"content\":\"t0 t1 t2 t3 t4 \""));
        CHECK(contains(collected.body, "\"completion_tokens\":5"));
    }
    // A placement is released after its answer was written, so the requests have to end first.
    CHECK(node.server->stop(node.clock.now() + seconds(5)));
    CHECK(node.dispatcher.acquired == node.dispatcher.released);
    CHECK(node.dispatcher.lastOutcome == PlacementOutcome::Completed);
}

TEST_CASE("Refusals are passed on with Retry-After and their true run state", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.settings.relay.backoffCap = milliseconds(1);
    node.start();
    upstream.behaviour.status = 503;
    auto refused = node.send("POST", chat, streamedChat);
    CHECK(refused.status == 503);
    CHECK(contains(refused.body, "not_run"));
    CHECK(refused.head.get("Retry-After") == "1");
    upstream.behaviour.status = 500;
    CHECK(contains(node.send("POST", chat, streamedChat).body, "\"run_state\":\"unknown\""));
    node.dispatcher.isFull = true;
    auto full = node.send("POST", chat, streamedChat);
    CHECK(full.status == 429);
    CHECK(full.head.get("Retry-After") == "2");
}

TEST_CASE("Shutdown hands running streams over and another node delivers the rest once", "[http]")
{
    StandInUpstream upstream;
    ServerFixture first(upstream.address());
    ServerFixture second(upstream.address());
    first.start();
    second.start();
    upstream.behaviour.pauseAfter = 2;
    auto connection = first.session();
    Poco::Net::HTTPRequest request("POST", chat, Poco::Net::HTTPRequest::HTTP_1_1);
    request.set("Authorization", "Bearer key");
    request.setContentLength64(static_cast<Poco::Int64>(streamedChat.size()));
    connection->sendRequest(request) << streamedChat;
    Poco::Net::HTTPResponse head;
    // The response head comes with the first token, so the stream runs when the shutdown begins.
    auto &stream = connection->receiveResponse(head);
    CHECK(first.server->stop(first.clock.now()));
    std::string body { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    CHECK((outline(body) == "/0 /1 resume/1 " || outline(body) == "/0 resume/0 "));
    CHECK(upstream.behaviour.cancelled == 0);

    upstream.behaviour.pauseAfter = -1;
    auto foreign = second.send("POST", chat, "", { { "Last-Event-ID", lastId(body) }, { "Authorization", "Bearer other" } });
    CHECK(foreign.status == 403);
    auto rest = second.send("POST", chat, "", { { "Last-Event-ID", lastId(body) } });
    CHECK(rest.status == 200);
    auto delivered = outline(body);
    CHECK(delivered.substr(0, delivered.find("resume")) + outline(rest.body) == "/0 /1 /2 /3 /4 done");
    CHECK(upstream.behaviour.started == 1);
}

TEST_CASE("A node that isn't ready or shuts down refuses work and says so to the balancer", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.start();
    CHECK(node.send("GET", "/readyz").status == 200);
    node.readiness.isReady = false;
    CHECK(node.send("GET", "/readyz").status == 503);
    CHECK(node.send("GET", "/healthz").status == 200);
    auto refused = node.send("POST", chat, streamedChat);
    CHECK(contains(refused.body, "NodeIsolated"));
    CHECK(refused.head.has("Retry-After"));
    CHECK(contains(node.send("GET", "/metrics").body, "lovageward_refusals_total{code=\"NodeIsolated\"} 1"));
    CHECK(node.server->stop(node.clock.now()));
    CHECK(upstream.behaviour.started == 0);
}

TEST_CASE("Service calls: lookups are repeated, bookings run once on a new connection", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.settings.relay.backoffCap = milliseconds(1);
    node.start();
    auto lookup = node.send("POST", "/v1/services/lookup", "{}");
    CHECK(lookup.status == 200);
    CHECK(lookup.body == R"({"operation":"lookup"})");
    std::map<std::string, std::string> key { { "Idempotency-Key", "1790000000-0123456789abcdef" } };
    auto first = node.send("POST", "/v1/services/booking", "{}", key);
    CHECK(first.status == 200);
    CHECK_FALSE(first.head.has("X-Idempotent-Replay"));
    auto repeated = node.send("POST", "/v1/services/booking", "{}", key);
    CHECK(repeated.body == first.body);
    CHECK(repeated.head.has("X-Idempotent-Replay"));
    CHECK(upstream.behaviour.calls == 2);
    // The lookup's pooled connection was free, but the booking opened its own.
    CHECK(upstream.behaviour.peers.size() == 2);

    upstream.behaviour.crossesRequestIds = true;
    auto crossed = node.send("POST", "/v1/services/lookup", "{}");
    CHECK(contains(crossed.body, "AnswerMismatch"));
    CHECK(contains(crossed.body, "\"run_state\":\"unknown\""));
    CHECK(upstream.behaviour.calls == 5);
    upstream.behaviour.status = 503;
    CHECK(contains(node.send("POST", "/v1/services/lookup", "{}").body, "\"run_state\":\"unknown\""));
}

TEST_CASE("The models are the work classes that generate", "[http]")
{
    StandInUpstream upstream;
    ServerFixture node(upstream.address());
    node.start();
    auto reply = node.send("GET", "/v1/models");
    CHECK(contains(reply.body, "\"id\":\"plan\""));
    CHECK_FALSE(contains(reply.body, "booking"));
}
