#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <Support/BrokenAnswers.h>
#include <Support/ScriptedUpstream.h>
#include <platform/PlatformDecoder.h>
#include <platform/PlatformStore.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <catch2/catch.hpp>

#include <functional>
#include <mutex>

using namespace Lovageward;

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/** Stand-in for the store that takes its responses from the test's script and records the requests. */
class StoreStandIn
{
public:
    struct Reply
    {
        int status = 200;
        std::string body;
        std::string era = {};
    };

    using Script = std::function<Reply(const std::string &target)>;

    explicit StoreStandIn(Script script) : script(std::move(script)), socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        this->server = std::make_unique<Poco::Net::HTTPServer>(
            Poco::Net::HTTPRequestHandlerFactory::Ptr(new Factory(*this)), this->socket, Poco::Net::HTTPServerParams::Ptr(new Poco::Net::HTTPServerParams));
        this->server->start();
    }

    ~StoreStandIn()
    {
        this->server->stopAll(true);
    }

    std::string address() const
    {
        return this->socket.address().toString();
    }

    std::vector<std::string> targets;
    std::vector<std::string> bodies;

private:
    class Handler final : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit Handler(StoreStandIn &owner) : owner(owner)
        {
        }

        void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
        {
            std::string body;
            if (request.getMethod() == "POST") {
                Poco::StreamCopier::copyToString(request.stream(), body);
            }
            std::lock_guard<std::mutex> guard(this->owner.mutex);
            this->owner.targets.push_back(request.getMethod() + " " + request.getURI());
            this->owner.bodies.push_back(body);
            auto reply = this->owner.script(request.getURI());
            response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(reply.status));
            response.setContentLength64(static_cast<Poco::Int64>(reply.body.size()));
            if (!reply.era.empty()) {
                response.set("Store-Era", reply.era);
            }
            response.send() << reply.body;
        }

    private:
        StoreStandIn &owner;
    };

    class Factory final : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(StoreStandIn &owner) : owner(owner)
        {
        }

        Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest & /*request*/) override
        {
            return new Handler(this->owner);
        }

    private:
        StoreStandIn &owner;
    };

    Script script;
    std::mutex mutex;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

std::string encodeBigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        text += static_cast<char>(number >> static_cast<unsigned>(shift));
    }
    return text;
}

std::string encodeRecord(const std::string &key, const std::string &value)
{
    auto content = encodeBigEndian(key.size(), 1) + key + value;
    return encodeBigEndian(content.size(), 4) + content;
}

constexpr Duration callTimeout = seconds(10);

}

TEST_CASE("A read returns keyed records with their offsets and the next offset")
{
    StoreStandIn standIn([](const std::string & /*target*/) {
        return StoreStandIn::Reply { 200,
                                     encodeBigEndian(42, 8) + encodeBigEndian(3, 8) + encodeRecord("config", "{}") + encodeRecord("evacuate/surat-a", "") };
    });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    auto page = store.readFrom(FeedTopic::Operators, 40, milliseconds(600), clock.now() + callTimeout);
    CHECK(standIn.targets.front() == "GET /-/log-read?topic=keyed.op&part=0&fromRev=40&waitMs=600");
    REQUIRE(page.records.size() == 2);
    CHECK(page.records[0].key == "config");
    CHECK(page.records[0].value == "{}");
    CHECK(page.records[0].offset == 40);
    CHECK(page.records[1].key == "evacuate/surat-a");
    CHECK(page.records[1].value.empty());
    CHECK(page.records[1].offset == 41);
    CHECK(page.nextOffset == 42);
}

TEST_CASE("A read of expired records fails with a different error than a failing store")
{
    int status = 410;
    StoreStandIn standIn([&](const std::string & /*target*/) { return StoreStandIn::Reply { status, R"({"first":90})" }; });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    auto readErrorCode = [&] {
        try {
            store.readFrom(FeedTopic::Upstreams, 0, Duration(0), clock.now() + callTimeout);
        } catch (const Error &error) {
            return error.code();
        }
        return ResultCode::Ok;
    };
    CHECK(readErrorCode() == ResultCode::RecordsExpired);
    for (int failing : { 503, 429, 500 }) {
        status = failing;
        CHECK(readErrorCode() == ResultCode::LogUnavailable);
    }
}

TEST_CASE("A truncated or malformed response of the store is an error and not an empty page")
{
    const std::vector<std::string> bodies = { "", "short", encodeBigEndian(9, 8) + encodeBigEndian(0, 8) + encodeBigEndian(100, 4) + "x" };
    for (const auto &body : bodies) {
        StoreStandIn standIn([&](const std::string & /*target*/) { return StoreStandIn::Reply { 200, body }; });
        SystemClock clock;
        PlatformStore store(clock, standIn.address());
        CHECK_THROWS_AS(store.readFrom(FeedTopic::Operators, 0, Duration(0), clock.now() + callTimeout), Error);
    }
}

// Guards against a record of another writer that keeps all nodes from reading the records after it.
TEST_CASE("A record without a valid key is returned without a key, which the decoder rejects, and doesn't hide the records after it")
{
    StoreStandIn standIn([](const std::string & /*target*/) {
        auto malformed = encodeBigEndian(2, 4) + "\x05x" + encodeBigEndian(0, 4);
        return StoreStandIn::Reply { 200, encodeBigEndian(9, 8) + encodeBigEndian(0, 8) + malformed + encodeRecord("i-1", "{}") };
    });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    auto page = store.readFrom(FeedTopic::Upstreams, 4, Duration(0), clock.now() + callTimeout);
    REQUIRE(page.records.size() == 3);
    CHECK(page.records[0].key.empty());
    CHECK(page.records[1].key.empty());
    CHECK(page.records[2].key == "i-1");
    CHECK(page.nextOffset == 7);
    for (auto topic : { FeedTopic::Operators, FeedTopic::Upstreams }) {
        CHECK_THROWS_AS(PlatformDecoder().decode(topic, page.records[0], clock.now()), Error);
        CHECK_THROWS_AS(PlatformDecoder().decode(topic, page.records[1], clock.now()), Error);
    }
}

TEST_CASE("The newest records are returned in pages, each with the end offset of the log")
{
    StoreStandIn standIn([](const std::string &target) {
        if (target.find("after=") == std::string::npos) {
            return StoreStandIn::Reply { 200, R"({"items":[{"key":"i-1","value":"YWJj","offset":4}],"hasMore":true,"end":6})" };
        }
        return StoreStandIn::Reply { 200, R"({"items":[{"key":"i-2","value":"ZGVm","offset":7}],"hasMore":false,"end":8})" };
    });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    auto first = store.listNewest(FeedTopic::Upstreams, std::nullopt, clock.now() + callTimeout);
    REQUIRE(first.page.records.size() == 1);
    CHECK(first.page.records[0].value == "abc");
    CHECK(first.page.nextOffset == 6);
    CHECK(first.hasMore);
    auto second = store.listNewest(FeedTopic::Upstreams, first.page.records[0].key, clock.now() + callTimeout);
    REQUIRE(second.page.records.size() == 1);
    CHECK(second.page.records[0].value == "def");
    CHECK_FALSE(second.hasMore);
    CHECK(standIn.targets[1] == "GET /-/log-newest?topic=keyed.servers&part=0&after=i-1");
}

TEST_CASE("A node announces its address under its host name and lists all announced hosts")
{
    StoreStandIn standIn([](const std::string &target) {
        return StoreStandIn::Reply { 200,
                                     target.find("log-append") != std::string::npos ? R"({"offset":0,"end":1})"
                                         : target.find("after=") == std::string::npos
                                         ? R"({"items":[{"key":"front-1","value":"MTAuMC4wLjE6NzIwMCBhMQ==","offset":0}],"hasMore":true,"end":2})"
                                         : R"({"items":[{"key":"old","value":"MTAuMC4wLjI6NzIwMA==","offset":1}],"hasMore":false,"end":2})" };
    });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    KnownHost host { HostId("front-1"), FailureDomainId("a1"), "10.0.0.1:7200" };
    store.announce(host, clock.now() + callTimeout);
    CHECK(standIn.targets.front().starts_with("POST /-/log-append?topic=keyed."));
    CHECK(standIn.bodies.front() == encodeRecord("front-1", "10.0.0.1:7200 a1"));
    // A node of an older version announces no failure domain.
    CHECK(store.hosts(clock.now() + callTimeout).hosts == std::vector<KnownHost> { host, { HostId("old"), FailureDomainId(), "10.0.0.2:7200" } });
}

TEST_CASE("The era that the store states is part of every result, is 0 if it states none, and an error if it isn't a number")
{
    std::string era = "2";
    StoreStandIn standIn([&era](const std::string &target) {
        auto records = encodeBigEndian(5, 8) + encodeBigEndian(0, 8) + encodeRecord("config", "{}");
        auto isRead = target.find("log-read") != std::string::npos;
        return StoreStandIn::Reply { 200, isRead ? records : R"({"items":[{"key":"i-1","value":"YWJj","offset":4}],"hasMore":false,"end":6})", era };
    });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    auto deadline = clock.now() + callTimeout;
    for (auto expected : { StoreEra(2), StoreEra(0) }) {
        era = expected == StoreEra(2) ? "2" : "";
        auto page = store.readFrom(FeedTopic::Operators, 4, Duration(0), deadline);
        CHECK(page.nextPosition() == FeedPosition { expected, 5 });
        CHECK(page.records.at(0).position() == FeedPosition { expected, 4 });
        auto listing = store.listNewest(FeedTopic::Upstreams, std::nullopt, deadline);
        CHECK(listing.page.nextPosition() == FeedPosition { expected, 6 });
        CHECK(listing.page.records.at(0).position() == FeedPosition { expected, 4 });
        CHECK(store.hosts(deadline).era == expected);
        CHECK(store.announce({ HostId("front-1"), FailureDomainId("a1"), "10.0.0.1:7200" }, deadline) == expected);
    }
    era = "x";
    CHECK_THROWS_AS(store.readFrom(FeedTopic::Operators, 4, Duration(0), deadline), Error);
}

// Guards against a node that waits at an offset that a restored store reaches only later, with other records.
TEST_CASE("A read beyond the end of the store fails like a read of expired records")
{
    StoreStandIn standIn([](const std::string & /*target*/) { return StoreStandIn::Reply { 200, encodeBigEndian(9, 8) + encodeBigEndian(0, 8) }; });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    CHECK(store.readFrom(FeedTopic::Operators, 9, Duration(0), clock.now() + callTimeout).records.empty());
    try {
        store.readFrom(FeedTopic::Operators, 10, Duration(0), clock.now() + callTimeout);
        FAIL("the read succeeded");
    } catch (const Error &error) {
        CHECK(error.code() == ResultCode::RecordsExpired);
    }
}

// Guards against a report that overwrites a newer one, and against a refused write that counts as done.
TEST_CASE("The report on a roll-out is written only where the topic still ends as it was read")
{
    StoreStandIn standIn([](const std::string &target) {
        if (target.find("log-newest") != std::string::npos) {
            return StoreStandIn::Reply { 200, R"({"items":[{"key":"rollout/p","value":"eyJzdGF0ZSI6InJ1bm5pbmciLCJ0YXJnZXQiOiJ2MiJ9","offset":4}],"end":6})" };
        }
        return target.find("&at=6") != std::string::npos ? StoreStandIn::Reply { 200, R"({"offset":6,"end":7})" } : StoreStandIn::Reply { 412, R"({"end":7})" };
    });
    SystemClock clock;
    PlatformStore store(clock, standIn.address());
    auto entry = store.readNewest(PoolId("p"), clock.now() + callTimeout);
    REQUIRE(entry.status);
    CHECK(entry.status->target == UpstreamVersion("v2"));
    CHECK(entry.end == 6);
    CHECK_FALSE(store.readNewest(PoolId("other"), clock.now() + callTimeout).status);
    RolloutStatus status { PoolId("p"), UpstreamVersion("v2"), RolloutState::Completed, RolloutOrderId(2) };
    CHECK(store.writeAt(status, 6, clock.now() + callTimeout) == StatusWriteResult::Written);
    CHECK(standIn.targets.back() == "POST /-/log-append?topic=keyed.status&part=0&at=6");
    auto record = encodeRolloutStatus(status);
    CHECK(standIn.bodies.back() == encodeRecord(record.key, record.value));
    CHECK(store.writeAt(status, 5, clock.now() + callTimeout) == StatusWriteResult::Conflict);
}

TEST_CASE("A call to an unreachable store fails")
{
    SystemClock clock;
    PlatformStore store(clock, "127.0.0.1:1");
    CHECK_THROWS_AS(store.listNewest(FeedTopic::Operators, std::nullopt, clock.now() + callTimeout), Error);
}

// Guards against a listing that seems to lack records, and a write that seems to have succeeded, because the store broke off while it answered.
TEST_CASE("A broken answer of the store is an error, and the next call uses another connection")
{
    struct Call
    {
        std::string name;
        std::string answerBody;
        std::function<void(PlatformStore &store, TimePoint deadline)> call;
    };
    const KnownHost host { HostId("n1"), FailureDomainId("a1"), "10.0.0.1:7200" };
    RolloutStatus status;
    status.pool = PoolId("p");
    const std::string listing = R"({"items":[],"end":5,"hasMore":false})";
    const std::vector<Call> calls {
        { "listing", listing, [](PlatformStore &store, TimePoint deadline) { store.listNewest(FeedTopic::Upstreams, std::nullopt, deadline); } },
        { "hosts", listing, [](PlatformStore &store, TimePoint deadline) { store.hosts(deadline); } },
        { "report", listing, [](PlatformStore &store, TimePoint deadline) { store.readNewest(PoolId("p"), deadline); } },
        { "read",
          encodeBigEndian(1, 8) + encodeBigEndian(0, 8) + encodeRecord("key", "value"),
          [](PlatformStore &store, TimePoint deadline) { store.readFrom(FeedTopic::Upstreams, 0, Duration(0), deadline); } },
        { "announcement", "", [&](PlatformStore &store, TimePoint deadline) { store.announce(host, deadline); } },
        { "write", "", [&](PlatformStore &store, TimePoint deadline) { store.writeAt(status, 5, deadline); } },
    };
    for (const auto &call : calls) {
        for (const auto &answer : brokenAnswers("", call.answerBody)) {
            CAPTURE(call.name, answer.name);
            ScriptedUpstream standIn([&](ScriptedConnection &connection, const std::string & /*request*/) {
                connection.send(answer.bytes);
                connection.reset();
            });
            SystemClock clock;
            PlatformStore store(clock, standIn.address());
            for (std::size_t requests = 1; requests <= 2; ++requests) {
                CHECK_THROWS_AS(call.call(store, clock.now() + callTimeout), Error);
                CHECK(standIn.requests().size() == requests);
            }
        }
    }
}
