#include <LibCore/Error.h>
#include <LibCore/ManualClock.h>
#include <lovagewardctl/Control.h>

#include <catch2/catch.hpp>

#include <sstream>

using namespace Lovageward;

namespace {

/** Answers from a table and notes the requests. */
class ScriptedTransport final : public AdminTransport
{
public:
    AdminAnswer call(const std::string &method, const std::string &target, const std::string &body) override
    {
        this->requests.push_back(method + " " + target + (body.empty() ? "" : " " + body));
        auto &answers = this->script[method + " " + target.substr(0, target.find('?'))];
        if (answers.empty()) {
            return AdminAnswer { 404, R"({"error":{"code":107,"name":"NotFound","message":"none","run_state":"not_run"}})" };
        }
        auto answer = answers.front();
        if (answers.size() > 1) {
            answers.erase(answers.begin());
        }
        return answer;
    }

    /** Answers per method and path; the last one is repeated. */
    std::map<std::string, std::vector<AdminAnswer>> script;
    std::vector<std::string> requests;
};

struct ControlFixture
{
    ResultCode run(const std::vector<std::string> &arguments)
    {
        auto noEnvironment = [](const std::string &) { return std::string(); };
        auto pause = [this](Duration time) { this->clock.advance(time); };
        try {
            Control(this->transport, this->clock, pause, this->output, this->progress).run(parseControlOptions(arguments, noEnvironment));
            return ResultCode::Ok;
        } catch (const Error &error) {
            this->message = error.what();
            return error.code();
        }
    }

    static std::string change(const char *outcome, int nodes)
    {
        auto behind = nodes == 2 ? "[]" : R"([{"host":"two","configOffset":1}])";
        return fmt::format(R"({{"recordId":"r1","version":7,"outcome":"{}","inForce":)"
                           R"({{"liveNodes":2,"nodesInForce":{},"everywhere":{},"behind":{}}}}})",
                           outcome,
                           nodes,
                           nodes == 2,
                           behind);
    }

    ManualClock clock;
    ScriptedTransport transport;
    std::ostringstream output;
    std::ostringstream progress;
    std::string message;
};

}

TEST_CASE_METHOD(ControlFixture, "set keeps the fields that aren't given and is based on the version it read", "[control]")
{
    this->transport.script["GET teams/a"] = { { 200, R"({"id":"a","version":5,"value":{"keyHashes":["x"],"share":1}})" } };
    this->transport.script["PUT teams/a"] = { { 200, change("accepted", 1) } };
    this->transport.script["PUT classes/c"] = { { 200, change("accepted", 1) } };
    this->transport.script["GET drains/d"] = { { 200, R"({"id":"d","version":9,"value":null})" } };
    this->transport.script["PUT drains/d"] = { { 200, change("accepted", 1) } };
    CHECK(this->run({ "team", "set", "a", "--share", "3" }) == ResultCode::Ok);
    CHECK(this->run({ "class", "set", "c", "--model=m", "--repeatable=false", "--target-ms", "900" }) == ResultCode::Ok);
    CHECK(this->run({ "drain", "add", "d", "--reason", "power" }) == ResultCode::Ok);
    CHECK(this->run({ "team", "set", "a", "--based-on", "4" }) == ResultCode::Ok);
    auto &sent = this->transport.requests;
    REQUIRE(sent.size() == 8);
    CHECK(sent[1] == R"(PUT teams/a?basedOn=5 {"keyHashes":["x"],"share":3})");
    CHECK(sent[3] == R"(PUT classes/c?basedOn=0 {"model":"m","targetTimeMs":900,"repeatable":false})");
    CHECK(sent[5] == R"(PUT drains/d?basedOn=9 {"reason":"power"})");
    CHECK_THAT(sent[7], Catch::StartsWith("PUT teams/a?basedOn=4"));
    CHECK_THAT(this->output.str(), Catch::StartsWith("accepted as version 7, record r1\n"));
}

TEST_CASE_METHOD(ControlFixture, "wait follows a change until it is in force everywhere, or fails with the nodes behind", "[control]")
{
    auto &answers = this->transport.script["GET changes/r1"];
    SECTION("in the end")
    {
        answers = { { 404, R"({"error":{"code":107}})" }, { 200, change("accepted", 1) }, { 200, change("accepted", 2) } };
        CHECK(this->run({ "wait", "r1" }) == ResultCode::Ok);
        CHECK_THAT(this->progress.str(), Catch::Contains("in force on 1 of 2 nodes; behind: two"));
    }
    SECTION("not in time")
    {
        answers = { { 200, change("accepted", 1) } };
        CHECK(this->run({ "wait", "r1", "--timeout", "3" }) == ResultCode::DeadlineExceeded);
        CHECK_THAT(this->message, Catch::Contains("behind: two"));
        CHECK(this->transport.requests.size() == 7);
    }
    SECTION("rejected")
    {
        answers = { { 200, change("conflict", 2) } };
        CHECK(this->run({ "wait", "r1" }) == ResultCode::VersionConflict);
    }
}

TEST_CASE_METHOD(ControlFixture, "Wrong command lines and errors of the API end with their own exit code", "[control]")
{
    struct Case
    {
        std::vector<std::string> arguments;
        ResultCode code;
        int exitCode;
    };
    this->transport.script["GET teams"] = { { 409, R"({"error":{"code":600,"message":"m","run_state":"not_run"}})" } };
    this->transport.script["GET status"] = { { 502, "<html>" } };
    this->transport.script["GET audit"] = { { 504, R"({"error":{"code":501,"message":"m","record_id":"r9"}})" } };
    const std::vector<Case> cases = {
        { {}, ResultCode::BadRequest, 1 },
        { { "frobnicate" }, ResultCode::BadRequest, 1 },
        { { "team" }, ResultCode::BadRequest, 1 },
        { { "team", "add", "a" }, ResultCode::BadRequest, 1 },
        { { "team", "set" }, ResultCode::BadRequest, 1 },
        { { "team", "set", "a", "--share", "many" }, ResultCode::BadRequest, 1 },
        { { "team", "set", "a", "--colour", "red" }, ResultCode::BadRequest, 1 },
        { { "class", "set", "c", "--repeatable=maybe" }, ResultCode::BadRequest, 1 },
        { { "order", "p", "LoadModel" }, ResultCode::BadRequest, 1 },
        { { "team", "remove", "a" }, ResultCode::NotFound, 1 },
        { { "team", "list" }, ResultCode::VersionConflict, 6 },
        { { "status" }, ResultCode::MalformedMessage, 7 },
        { { "audit" }, ResultCode::OutcomeUnknown, 5 },
    };
    for (const auto &wrong : cases) {
        CAPTURE(wrong.arguments);
        CHECK(this->run(wrong.arguments) == wrong.code);
        CHECK(exitCodeOf(wrong.code) == wrong.exitCode);
    }
    CHECK_THAT(this->message, Catch::Contains("r9"));
}

TEST_CASE_METHOD(ControlFixture, "Tables line up and show no control characters of stored values", "[control]")
{
    this->transport.script["GET drains"]
        = { { 200, R"({"items":[{"id":"surat-a","version":12,"value":{"reason":"a\u001b[2Jb"}},{"id":"b","version":3,"value":{"reason":""}}]})" } };
    CHECK(this->run({ "drain", "list" }) == ResultCode::Ok);
    CHECK(this->output.str() == "id       version  reason\nsurat-a  12       a?[2Jb\nb        3\n");
}

TEST_CASE("Flags win over environment variables", "[control]")
{
    auto environment = [](const std::string &name) { return name == "LOVAGEWARD_ADMIN" ? std::string("env:1") : std::string("env-key"); };
    auto options = parseControlOptions({ "status", "--admin", "flag:2" }, environment);
    CHECK(options.admin == "flag:2");
    CHECK(options.key == "env-key");
    CHECK(parseControlOptions({ "status" }, environment).admin == "env:1");
    std::ostringstream output;
    std::ostringstream errors;
    CHECK(runControl({ "status", "--admin", "nowhere" }, environment, output, errors) == 9);
    CHECK(runControl({ "--help" }, environment, output, errors) == 0);
    CHECK_THAT(output.str(), Catch::Contains("rotate-key"));
}
