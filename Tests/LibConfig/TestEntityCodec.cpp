#include <LibConfig/EntityCodec.h>
#include <LibCore/Error.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("A wrong value is refused with the name of its field", "[config]")
{
    struct Case
    {
        const char *key;
        const char *json;
        ResultCode code;
        const char *mentions;
    };
    const std::vector<Case> cases = {
        { "team/a", "[]", ResultCode::MalformedJson, "team/a" },
        { "team/a", "{", ResultCode::MalformedJson, "team/a" },
        { "team/a", R"({"id":"b"})", ResultCode::InvalidValue, "'id'" },
        { "team/a", R"({"shares":1})", ResultCode::InvalidValue, "'shares'" },
        { "team/a", R"({"share":"1"})", ResultCode::InvalidValue, "'share'" },
        { "team/a", R"({"share":1.5})", ResultCode::InvalidValue, "'share'" },
        { "team/a", R"({"share":true})", ResultCode::InvalidValue, "'share'" },
        { "team/a", R"({"share":null})", ResultCode::InvalidValue, "'share'" },
        { "team/a", R"({"share":0})", ResultCode::InvalidValue, "'share'" },
        { "team/a", R"({"share":-1})", ResultCode::InvalidValue, "'share'" },
        { "team/a", R"({"maximumConcurrent":18446744073709551616})", ResultCode::InvalidValue, "'maximumConcurrent'" },
        { "team/a", R"({"keyHashes":["AB"]})", ResultCode::InvalidValue, "'keyHashes'" },
        { "team/a", R"({"keyHashes":"x"})", ResultCode::InvalidValue, "'keyHashes'" },
        { "team/a", R"({"keyHashes":[1]})", ResultCode::InvalidValue, "'keyHashes'" },
        { "class/a", R"({})", ResultCode::InvalidValue, "'model'" },
        { "class/a", R"({"model":"m","pool":"p"})", ResultCode::InvalidValue, "'pool'" },
        { "class/a", R"({"kind":"service","pool":"p"})", ResultCode::InvalidValue, "'operation'" },
        { "class/a", R"({"kind":"batch","model":"m"})", ResultCode::InvalidValue, "generation, service" },
        { "class/a", R"({"model":"../m"})", ResultCode::InvalidValue, "'model'" },
        { "class/a", R"({"model":"m","targetTimeMs":0})", ResultCode::InvalidValue, "'targetTimeMs'" },
        { "class/a", R"({"model":"m","repeatable":"no"})", ResultCode::InvalidValue, "'repeatable'" },
        { "pool/a", R"({"minimumWarmPercent":101})", ResultCode::InvalidValue, "'minimumWarmPercent'" },
        { "pool/a", R"({"fencing":"maybe"})", ResultCode::InvalidValue, "'fencing'" },
        { "drain/a", R"({"reason":5})", ResultCode::InvalidValue, "'reason'" },
    };
    for (const auto &wrong : cases) {
        CAPTURE(wrong.key, wrong.json);
        try {
            decodeEntity(parseEntityKey(wrong.key), wrong.json, UnknownFields::Reject);
            FAIL_CHECK("the value was taken");
        } catch (const Error &error) {
            CHECK(error.code() == wrong.code);
            CHECK_THAT(error.what(), Catch::Contains(wrong.mentions));
        }
    }
}

TEST_CASE("A value keeps all its fields when it is written and read again", "[config]")
{
    auto hash = hashOfKey("secret");
    const std::vector<std::pair<std::string, std::string>> cases = {
        { "team/a", R"({"id":"a","keyHashes":[")" + hash + R"("],"maximumConcurrent":7,"share":3})" },
        { "class/a",
          R"({"id":"a","kind":"generation","model":"m","target":"tokenGap","targetTimeMs":27,"repeatable":false,)"
          R"("delivery":"hold","ownRegionOnly":true})" },
        { "class/b",
          R"({"id":"b","kind":"service","pool":"p","operation":"book","target":"firstToken","targetTimeMs":900,"repeatable":true,)"
          R"("delivery":"stream","ownRegionOnly":false})" },
        { "model/m", R"({"id":"m","version":"2","adapters":["x","y"]})" },
        { "pool/p", R"({"id":"p","models":["m"],"fencing":"ignores","minimumWarmPercent":55})" },
        { "drain/surat-a", R"({"id":"surat-a","reason":"power \"work\""})" },
    };
    for (const auto &[key, json] : cases) {
        CHECK(encodeEntity(decodeEntity(parseEntityKey(key), json, UnknownFields::Reject)) == json);
    }
}

TEST_CASE("A field of a newer version does not make nodes disagree about a record", "[config]")
{
    auto entity = decodeEntity(parseEntityKey("team/a"), R"({"share":2,"colour":"red"})", UnknownFields::Ignore);
    CHECK(std::get<Team>(entity).share == 2);
}

TEST_CASE("A key that could break paths or metrics is refused", "[config]")
{
    for (const auto *text : { "team", "team/", "/a", "teams/a", "team/a b", "team/a/b", "team/.a", "team/\"", "team/-a" }) {
        CAPTURE(text);
        CHECK_THROWS_AS(parseEntityKey(text), Error);
    }
    CHECK_THROWS_AS(parseEntityKey("team/" + std::string(65, 'a')), Error);
    CHECK(toText(parseEntityKey("class/long-plan.v2")) == "class/long-plan.v2");
}
