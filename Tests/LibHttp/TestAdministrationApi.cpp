#include <LibCore/Error.h>
#include <LibHttp/AdministrationServer.h>
#include <LibLog/InMemoryLogService.h>
#include <Support/ConfigNode.h>
#include <Support/ReadOnAppendLog.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

class OneOrderDesk final : public OrderDesk
{
public:
    PoolOrderProgress submit(const PoolOrder &order, TimePoint /*deadline*/) override
    {
        this->known.push_back(PoolOrderProgress { order, 3, 1, 0, "loading" });
        return this->known.back();
    }

    std::vector<PoolOrderProgress> orders() const override
    {
        return this->known;
    }

    std::vector<PoolOrderProgress> known;
};

struct ApiFixture
{
    ApiFixture()
    {
        this->feeding.node = &this->node;
        this->node.membership.add("one", Offset(0));
        this->node.membership.add("two", Offset(0));
        this->node.readAll();
        this->put("models/m", 0, "{}");
        this->put("teams/atelier", 0, "{}");
    }

    static std::vector<std::string> keys()
    {
        return { "operator:" + hashOfKey("op"), "read-only:" + hashOfKey("ro"), "team-owner/atelier:" + hashOfKey("own") };
    }

    AdministrationResponse call(const std::string &key, const std::string &method, const std::string &target, const std::string &body)
    {
        AdministrationRequest request;
        request.method = method;
        auto mark = target.find('?');
        request.path = "/admin/v1/" + target.substr(0, mark);
        if (mark != std::string::npos) {
            auto equals = target.find('=', mark);
            request.query[target.substr(mark + 1, equals - mark - 1)] = target.substr(equals + 1);
        }
        request.bearerKey = key;
        request.body = body;
        return this->api.handle(request);
    }

    AdministrationResponse put(const std::string &target, std::uint64_t basedOn, const std::string &body)
    {
        return this->call("op", "PUT", target + "?basedOn=" + std::to_string(basedOn), body);
    }

    ManualClock clock;
    InProcessPeerTransport peers;
    InMemoryLogService inner { clock, minutes(30) };
    ReadOnAppendLog feeding { inner };
    ConfigNode node { "one", clock, feeding, peers, 1 };
    UpstreamTable upstreams { clock, seconds(5) };
    OneOrderDesk orders;
    AdministrationApi api {
        AdministrationKeys(keys()), Duration(0), clock, node.random, node.sink, node.counters, node.store, node.audit, node.membership, upstreams, &orders
    };
};

/** Number of the error in an answer, 0 if it is none. */
int codeIn(const AdministrationResponse &response)
{
    auto json = parseJsonObject(response.body);
    return json->has("error") ? json->getObject("error")->getValue<int>("code") : 0;
}

}

TEST_CASE_METHOD(ApiFixture, "Each role gets exactly its rights, and wrong requests are refused with their code", "[admin]")
{
    struct Case
    {
        const char *key;
        const char *method;
        const char *target;
        const char *body;
        ResultCode code;
    };
    const std::vector<Case> cases = {
        { "", "GET", "status", "", ResultCode::Unauthenticated },
        { "wrong", "GET", "status", "", ResultCode::Unauthenticated },
        { "ro", "GET", "status", "", ResultCode::Ok },
        { "own", "GET", "status", "", ResultCode::Ok },
        { "ro", "GET", "teams", "", ResultCode::Ok },
        { "ro", "GET", "teams/atelier", "", ResultCode::Ok },
        { "own", "GET", "teams/atelier", "", ResultCode::Ok },
        { "own", "GET", "teams/other", "", ResultCode::Forbidden },
        { "ro", "GET", "teams/other", "", ResultCode::NotFound },
        { "own", "GET", "models/m", "", ResultCode::Ok },
        { "ro", "PUT", "models/n?basedOn=0", "{}", ResultCode::Forbidden },
        { "own", "PUT", "teams/atelier?basedOn=2", "{}", ResultCode::Forbidden },
        { "ro", "DELETE", "models/m?basedOn=1", "", ResultCode::Forbidden },
        { "op", "PUT", "models/n", "{}", ResultCode::BadRequest },
        { "op", "PUT", "models/n?basedOn=x", "{}", ResultCode::BadRequest },
        { "op", "PUT", "models/n?basedOn=-1", "{}", ResultCode::BadRequest },
        { "op", "PUT", "models/n?basedOn=1", "{}", ResultCode::VersionConflict },
        { "op", "PUT", "models/n?basedOn=0", "{", ResultCode::MalformedJson },
        { "op", "PUT", "models/n?basedOn=0", R"({"verzion":"1"})", ResultCode::InvalidValue },
        { "op", "PUT", "models/n%?basedOn=0", "{}", ResultCode::InvalidValue },
        { "op", "PUT", "classes/c?basedOn=0", R"({"model":"nix"})", ResultCode::InvalidValue },
        { "op", "PUT", "classes/c?basedOn=0", R"({"model":"m"})", ResultCode::Ok },
        { "op", "PUT", "pools/p?basedOn=0", R"({"models":["m"]})", ResultCode::Ok },
        { "op", "DELETE", "models/m?basedOn=1", "", ResultCode::InvalidValue },
        { "op", "PUT", "drains/surat-a?basedOn=0", R"({"reason":"power"})", ResultCode::Ok },
        { "op", "PATCH", "drains/surat-a", "", ResultCode::BadRequest },
        { "op", "PUT", "drains", "", ResultCode::BadRequest },
        { "op", "GET", "nothing", "", ResultCode::NotFound },
        { "op", "GET", "teams/atelier/keys", "", ResultCode::NotFound },
        { "op", "GET", "changes/unknown", "", ResultCode::NotFound },
        { "ro", "GET", "audit", "", ResultCode::Ok },
        { "own", "GET", "audit", "", ResultCode::Forbidden },
        { "ro", "GET", "audit?limit=many", "", ResultCode::BadRequest },
        { "ro", "GET", "audit?entity=nix", "", ResultCode::InvalidValue },
        { "ro", "POST", "orders", R"({"pool":"p","kind":"LoadModel","model":"m"})", ResultCode::Forbidden },
        { "op", "POST", "orders", R"({"pool":"p","kind":"Load","model":"m"})", ResultCode::InvalidValue },
        { "op", "POST", "orders", R"({"pool":"p","kind":"LoadModel","model":"m"})", ResultCode::Ok },
        { "ro", "GET", "orders", "", ResultCode::Ok },
        { "own", "POST", "team-keys", R"({"team":"other"})", ResultCode::Forbidden },
        { "ro", "POST", "team-keys", R"({"team":"atelier"})", ResultCode::Forbidden },
        { "op", "POST", "team-keys", R"({"team":"other"})", ResultCode::NotFound },
        { "own", "POST", "team-keys", R"({"team":"atelier"})", ResultCode::Ok },
        { "op", "POST", "team-keys", R"({"team":"atelier"})", ResultCode::Ok },
    };
    for (const auto &step : cases) {
        CAPTURE(step.key, step.method, step.target, step.body);
        auto response = this->call(step.key, step.method, step.target, step.body);
        CHECK(codeIn(response) == static_cast<int>(step.code));
        CHECK(response.status == httpStatus(step.code));
    }
}

TEST_CASE_METHOD(ApiFixture, "A conflict names the winner and an unknown outcome names the record", "[admin]")
{
    CHECK(codeIn(this->put("models/m", 1, R"({"version":"2"})")) == 0);
    auto conflict = parseJsonObject(this->put("models/m", 1, R"({"version":"3"})").body);
    CHECK(conflict->getObject("winner")->getValue<int>("version") == 3);
    CHECK_THAT(conflict->getObject("winner")->getValue<std::string>("actor"), Catch::StartsWith("operator#"));
    CHECK(conflict->getObject("error")->getValue<std::string>("run_state") == "not_run");

    this->feeding.isLosingAppends = true;
    auto unknown = parseJsonObject(this->put("models/m", 3, R"({"version":"4"})").body)->getObject("error");
    CHECK(unknown->getValue<int>("code") == static_cast<int>(ResultCode::OutcomeUnknown));
    CHECK(unknown->getValue<std::string>("run_state") == "unknown");
    CHECK(unknown->getValue<std::string>("record_id").size() == 32);

    this->feeding.isDown = true;
    auto refused = parseJsonObject(this->put("models/m", 3, R"({"version":"4"})").body)->getObject("error");
    CHECK(refused->getValue<int>("code") == static_cast<int>(ResultCode::LogUnavailable));
    CHECK(refused->getValue<std::string>("run_state") == "not_run");
}

TEST_CASE_METHOD(ApiFixture, "A change is shown as in force only where its offset is applied", "[admin]")
{
    auto recordId = parseJsonObject(this->put("drains/surat-a", 0, "{}").body)->getValue<std::string>("recordId");
    auto before = parseJsonObject(this->call("own", "GET", "changes/" + recordId, "").body)->getObject("inForce");
    CHECK(before->getValue<int>("nodesInForce") == 1);
    CHECK(before->getArray("behind")->getObject(0)->getValue<std::string>("host") == "two");
    this->node.membership.members[1].configOffset = Offset(3);
    auto after = parseJsonObject(this->call("own", "GET", "changes/" + recordId, "").body)->getObject("inForce");
    CHECK(after->getValue<bool>("everywhere"));
}

TEST_CASE_METHOD(ApiFixture, "A rotated key opens the team, its predecessor stays until the next rotation, and only hashes are kept", "[admin]")
{
    auto rotate = [this](const std::string &body) { return parseJsonObject(this->call("own", "POST", "team-keys", body).body)->getValue<std::string>("key"); };
    auto first = rotate(R"({"team":"atelier"})");
    auto second = rotate(R"({"team":"atelier"})");
    CHECK(this->node.store.teamByKey(first));
    CHECK(this->node.store.teamByKey(second)->id == TeamId("atelier"));
    auto third = rotate(R"({"team":"atelier"})");
    CHECK_FALSE(this->node.store.teamByKey(first));
    CHECK(this->node.store.teamByKey(second));
    auto fourth = rotate(R"({"team":"atelier","revokeOthers":true})");
    CHECK_FALSE(this->node.store.teamByKey(third));
    CHECK(this->node.store.teamByKey(fourth));
    auto everything = this->call("op", "GET", "audit", "").body + this->call("op", "GET", "teams", "").body + this->node.encodeState();
    CHECK_THAT(everything, !Catch::Contains(fourth));
}

TEST_CASE_METHOD(ApiFixture, "The audit trail of the API tells who, what, and old and new value", "[admin]")
{
    this->put("models/m", 1, R"({"version":"2"})");
    auto line = parseJsonObject(this->call("ro", "GET", "audit?entity=model/m", "").body)->getArray("items")->getObject(0);
    CHECK_THAT(line->getValue<std::string>("actor"), Catch::StartsWith("operator#"));
    CHECK(line->getValue<std::string>("outcome") == "accepted");
    CHECK(line->getValue<int>("basedOn") == 1);
    CHECK(line->getObject("oldValue")->getValue<std::string>("version").empty());
    CHECK(line->getObject("newValue")->getValue<std::string>("version") == "2");
}

TEST_CASE("A wrong administration key setting stops the start and does not show the key", "[admin]")
{
    for (const auto *role : { "admin:", "operator", "operator:secret-text", "team-owner:", "team-owner/:" }) {
        CAPTURE(role);
        auto setting = std::string(role) + (std::string(role).ends_with(":") ? hashOfKey("op") : "");
        try {
            AdministrationKeys keys({ setting });
            FAIL_CHECK("the setting was taken");
        } catch (const Error &error) {
            CHECK(error.code() == ResultCode::InvalidSettings);
            CHECK_THAT(error.what(), !Catch::Contains("secret-text"));
        }
    }
}

TEST_CASE_METHOD(ApiFixture, "Over HTTP, the key is needed, bodies are bounded and queries reach the API", "[admin]")
{
    struct Case
    {
        const char *key;
        const char *method;
        std::string target;
        std::string body;
        int status;
    };
    const std::vector<Case> cases = {
        { "", "GET", "/admin/v1/status", "", 401 },
        { "", "PUT", "/admin/v1/models/n?basedOn=0", std::string(200000, ' '), 401 },
        { "op", "PUT", "/admin/v1/models/n?basedOn=0", std::string(200000, ' '), 413 },
        { "op", "PUT", "/admin/v1/models/n?basedOn=0", "{}", 200 },
        { "op", "PUT", "/admin/v1/models/n?basedOn=0", "{}", 409 },
        { "op", "GET", "/admin/v1/models/n", "", 200 },
        { "op", "GET", "/elsewhere", "", 404 },
    };
    AdministrationSettings settings;
    settings.keys = keys();
    MemoryAccount memory(this->clock, MemoryLimits { 10'000'000 });
    AdministrationServer server(settings,
                                this->clock,
                                memory,
                                this->node.random,
                                this->node.sink,
                                this->node.counters,
                                this->node.store,
                                this->node.audit,
                                this->node.membership,
                                this->upstreams,
                                &this->orders);
    for (const auto &step : cases) {
        CAPTURE(step.key, step.method, step.target);
        Poco::Net::HTTPClientSession session("127.0.0.1", server.port());
        Poco::Net::HTTPRequest request(step.method, step.target, Poco::Net::HTTPRequest::HTTP_1_1);
        request.set("Authorization", std::string("Bearer ") + step.key);
        request.setContentLength64(static_cast<Poco::Int64>(step.body.size()));
        Poco::Net::HTTPResponse response;
        try {
            session.sendRequest(request) << step.body;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), *std::make_unique<std::string>());
            CHECK(response.getStatus() == step.status);
        } catch (const Poco::Exception &error) {
            FAIL_CHECK(error.displayText());
        }
    }
}
