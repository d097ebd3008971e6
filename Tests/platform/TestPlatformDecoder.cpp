#include <LibCore/Error.h>
#include <platform/PlatformDecoder.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>

using namespace Lovageward;

namespace {

const std::string configText = R"({"version":7,"routes":[
 {"name":"r-1","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0,
  "service":"huvo11a","maxAttempts":2,"keyless":false,"sticky":true,"resumable":true,"targetGapMs":180,"allowedRegions":[]},
 {"name":"r-2","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,
  "trafficSplit":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"maxAttempts":1,"resumable":false,"allowedRegions":["west"]},
 {"name":"r-3","host":"ficu95.example","pathPrefix":"/a/","kind":"non_idempotent","timeoutMs":2000,"service":"wuno96b","keyless":true},
 {"name":"r-4","host":"ficu95.example","pathPrefix":"/b/","kind":"idempotent","timeoutMs":2000,"service":"wuno96b","maxAttempts":2}],
 "services":[{"name":"huvo11a","healthPath":"/health","maxConns":232,"coldStartS":1.0,"coldPerS":38.0,
   "engine":{"slots":24,"kvTokens":34192,"moves":true,"backups":true,"stride":4}},
  {"name":"wuno96b","healthPath":"/health","maxConns":96,"coldStartS":0.0,"coldPerS":0.0}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"huka270","apiKeys":["k1","k2"],"priority":1,"allowedRegions":["east"]}]})";

std::optional<FeedChange> decode(FeedTopic topic, const std::string &key, const std::string &value)
{
    return PlatformDecoder().decode(topic, FeedRecord { key, value, 3 }, TimePoint(seconds(50)));
}

}

TEST_CASE("Decoding a configuration yields its routes, pools, teams and limits")
{
    auto change = decode(FeedTopic::Operators, "config", configText);
    REQUIRE(change);
    auto config = std::get<std::shared_ptr<const GatewayConfig>>(*change);
    CHECK(config->version() == ConfigVersion(7));
    const auto *resumableRoute = config->findRoute("ficu95.example", "/pufi791/2f");
    REQUIRE(resumableRoute != nullptr);
    CHECK(resumableRoute->isStream);
    CHECK(resumableRoute->isResumable);
    CHECK(resumableRoute->executionSemantics == ExecutionSemantics::Idempotent);
    CHECK(resumableRoute->timeout == seconds(6));
    CHECK(resumableRoute->targetGap == milliseconds(180));
    CHECK(resumableRoute->maximumAttempts == 2);
    const auto *splitRoute = config->findRoute("ficu95.example", "/lohu930/2f");
    REQUIRE(splitRoute != nullptr);
    CHECK(splitRoute->executionSemantics == ExecutionSemantics::AtMostOnce);
    REQUIRE(splitRoute->pools.size() == 2);
    CHECK(splitRoute->pools[1].pool == PoolId("wuno96b"));
    CHECK(splitRoute->pools[1].weight == 10);
    CHECK(splitRoute->allowedRegions == std::vector<RegionId> { RegionId("west") });
    const auto *atMostOnceRoute = config->findRoute("ficu95.example", "/a/x");
    REQUIRE(atMostOnceRoute != nullptr);
    CHECK(atMostOnceRoute->executionSemantics == ExecutionSemantics::AtMostOnce);
    CHECK_FALSE(atMostOnceRoute->isStream);
    CHECK_FALSE(atMostOnceRoute->requiresApiKey);
    CHECK(config->findRoute("ficu95.example", "/b/x")->executionSemantics == ExecutionSemantics::Idempotent);
    const auto *enginePool = config->findPool(PoolId("huvo11a"));
    REQUIRE(enginePool != nullptr);
    REQUIRE(enginePool->engine);
    CHECK(enginePool->engine->kvCacheTokens == TokenCount(34192));
    CHECK(enginePool->engine->tokensPerEvent == Approx(4));
    CHECK(enginePool->engine->supportsStandbyCopies);
    CHECK(enginePool->coldRequestsPerSecond == Approx(38));
    CHECK_FALSE(config->findPool(PoolId("wuno96b"))->engine);
    CHECK(config->findTeam("k2")->id == TeamId("huka270"));
    CHECK(config->findTeam("k2")->priority == 1);
    CHECK(config->findTeam("k2")->allowedRegions == std::vector<RegionId> { RegionId("east") });
    CHECK(config->limits().idleTimeout == seconds(15));
}

TEST_CASE("A drain record starts the drain of its failure domain and the removal of the record ends it")
{
    auto started = std::get<DrainChange>(*decode(FeedTopic::Operators, "evacuate/surat-a", "{}"));
    CHECK(started.domain == FailureDomainId("surat-a"));
    CHECK(started.isDrained);
    CHECK_FALSE(std::get<DrainChange>(*decode(FeedTopic::Operators, "evacuate/surat-a", "")).isDrained);
    CHECK_FALSE(decode(FeedTopic::Operators, "something/else", "{}"));
}

TEST_CASE("Decoding an upstream's entry yields its properties and the time at which it is warm")
{
    auto entry = std::get<UpstreamRecord>(*decode(
        FeedTopic::Upstreams,
        "i-1",
        R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"surat-a","version":"v1","slots":24,"state":"ready","coldLeftMs":1500,"sequence":4,"born":1767800328036})"));
    CHECK(entry.id == UpstreamId("i-1"));
    CHECK(entry.boot == BootId("1767800328036"));
    CHECK(entry.sequence == 4);
    CHECK(entry.pool == PoolId("huvo11a"));
    CHECK(entry.address == "10.128.0.9:8080");
    CHECK(entry.failureDomain == FailureDomainId("surat-a"));
    CHECK(entry.version == UpstreamVersion("v1"));
    CHECK(entry.slots == 24);
    CHECK_FALSE(entry.isDraining);
    CHECK(entry.coldUntil == TimePoint(milliseconds(51'500)));
    CHECK(std::get<UpstreamRemoval>(*decode(FeedTopic::Upstreams, "i-1", "")).upstream == UpstreamId("i-1"));
}

// Guards against an order that is misread, which would shift traffic that nobody ordered to be shifted.
TEST_CASE("Decoding the order of a roll-out yields its pool, version, offset and end")
{
    auto order = std::get<RolloutOrder>(*decode(FeedTopic::Operators, "rollout/huvo11a", R"({"service":"huvo11a","target":"v2","durationS":60})"));
    CHECK(order.id == RolloutOrderId(3));
    CHECK(order.pool == PoolId("huvo11a"));
    CHECK(order.target == UpstreamVersion("v2"));
    CHECK(order.readAt == TimePoint(seconds(50)));
    CHECK(order.endsAt == TimePoint(seconds(110)));
    CHECK_FALSE(decode(FeedTopic::Operators, "rollout/huvo11a", ""));
    for (const auto *value : { R"({"service":"other","target":"v2","durationS":60})",
                               R"({"service":"huvo11a","durationS":60})",
                               R"({"service":"huvo11a","target":"v2"})",
                               R"({"service":"huvo11a","target":"v2","durationS":-1})",
                               R"({"service":"huvo11a","target":"v2","durationS":true})",
                               "[]" }) {
        INFO(value);
        CHECK_THROWS_AS(decode(FeedTopic::Operators, "rollout/huvo11a", value), Error);
    }
}

// Guards against a report that its own writer can't read, so that a final state would be lost.
TEST_CASE("Reports on roll-outs are decoded as they were written")
{
    for (auto state : { RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack }) {
        auto record = encodeRolloutStatus(RolloutStatus { PoolId("huvo11a"), UpstreamVersion("v2"), state, RolloutOrderId(7) });
        CHECK(record.key == "rollout/huvo11a");
        auto status = std::get<RolloutStatus>(*decode(FeedTopic::Status, record.key, record.value));
        CHECK(status.pool == PoolId("huvo11a"));
        CHECK(status.target == UpstreamVersion("v2"));
        CHECK(status.state == state);
        CHECK(status.order == RolloutOrderId(7));
    }
    auto plain = std::get<RolloutStatus>(*decode(FeedTopic::Status, "rollout/huvo11a", R"({"state":"rolled_back","target":"v2"})"));
    CHECK(plain.state == RolloutState::RolledBack);
    CHECK_FALSE(plain.order);
    CHECK_FALSE(decode(FeedTopic::Status, "something/else", "{}"));
    CHECK_THROWS_AS(decode(FeedTopic::Status, "rollout/huvo11a", R"({"state":"halted","target":"v2"})"), Error);
}

TEST_CASE("Upstream entries that are malformed or incomplete are rejected")
{
    for (const std::string value : { "not json",
                                     "[]",
                                     "{}",
                                     R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":"many","state":"ready"})",
                                     R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":4,"state":"asleep"})",
                                     R"({"service":["a"],"address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"})",
                                     R"({"service":"a","zone":"z","slots":4,"state":"ready"})",
                                     "\xff\xfe\x00" }) {
        CAPTURE(value);
        CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "i-1", value), Error);
    }
}

namespace {

std::string repeat(std::string_view text, std::size_t count)
{
    std::string repeated;
    repeated.reserve(text.size() * count);
    for (std::size_t copy = 0; copy < count; ++copy) {
        repeated += text;
    }
    return repeated;
}

/** The fields of an upstream's entry and their JSON values. */
std::map<std::string, std::string> completeEntry()
{
    return { { "service", R"("a")" },    { "address", R"("10.0.0.1:80")" }, { "zone", R"("z")" },  { "version", R"("v1")" },
             { "slots", "4" },           { "state", R"("ready")" },         { "coldLeftMs", "0" }, { "sequence", "7" },
             { "born", "1767800328036" } };
}

std::string encodeEntry(const std::map<std::string, std::string> &fields)
{
    std::string entry;
    for (const auto &[field, content] : fields) {
        entry += fmt::format("{}\"{}\":{}", entry.empty() ? "{" : ",", field, content);
    }
    return entry + "}";
}

/** An upstream's entry with an additional or replaced field. */
std::string entryWith(const std::string &name, const std::string &value)
{
    auto fields = completeEntry();
    fields[name] = value;
    return encodeEntry(fields);
}

std::string entryWithout(const std::string &name)
{
    auto fields = completeEntry();
    fields.erase(name);
    return encodeEntry(fields);
}

}

// Guards against an entry of another writer that names no upstream to use but replaces that of a draining one, which then gets new requests.
TEST_CASE("An entry in which a field is missing, of another type or out of range is rejected, whichever field it is")
{
    CHECK_NOTHROW(decode(FeedTopic::Upstreams, "i-1", encodeEntry(completeEntry())));
    // Deployments without restarts under the same id may omit it.
    CHECK(std::get<UpstreamRecord>(*decode(FeedTopic::Upstreams, "i-1", entryWithout("born"))).boot.isEmpty());
    for (const auto &[field, value] : completeEntry()) {
        CAPTURE(field);
        if (field != "born") {
            CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "i-1", entryWithout(field)), Error);
        }
        auto isText = value.starts_with('"');
        for (const std::string other : { "null", "true", "[]", "{}", "[1]", isText ? "5" : R"("5")", isText ? R"("")" : "-1" }) {
            CAPTURE(other);
            CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "i-1", entryWith(field, other)), Error);
        }
    }
    for (const auto *field : { "sequence", "born" }) {
        for (const auto *number : { "1.5", "1e400", "9223372036854775808" }) {
            CAPTURE(field, number);
            CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "i-1", entryWith(field, number)), Error);
        }
    }
}

// Guards against entries of another writer that end the process or keep the follower from reading on (issue 32, more reports).
TEST_CASE("Entries that are nested very deeply, with numbers out of range or with an unusable address are rejected like other malformed ones")
{
    std::vector<std::string> values;
    for (std::size_t depth : std::vector<std::size_t> { 1'000, 100'000, 1'000'000 }) {
        values.push_back(repeat("[", depth));
        values.push_back(repeat(R"({"a":)", depth));
        values.push_back(entryWith("extra", repeat("[", depth) + repeat("]", depth)));
        values.push_back(entryWith("slots", repeat(R"({"a":)", depth) + "1" + repeat("}", depth)));
    }
    for (const auto *number : { "1e400", "-1e400", "1e30", "99999999999999999999999999", "-5", "4294967296", "18446744073709551616", "4.5" }) {
        values.push_back(entryWith("slots", number));
    }
    for (const auto *number : { "1e400", "-1e400", "1e300", "-1e300", "99999999999999999999999999" }) {
        values.push_back(entryWith("coldLeftMs", number));
    }
    for (const auto *address : { "10.0.0.1:99999",
                                 "10.0.0.1:65536",
                                 "10.0.0.1:0",
                                 "10.0.0.1:-1",
                                 "10.0.0.1:",
                                 "10.0.0.1",
                                 "",
                                 ":80",
                                 "10.0.0.1:80x",
                                 "host.example:80",
                                 "10.0.0.1:http",
                                 "10.0.0.256:80",
                                 "10.0.0.1:80:80",
                                 "10.0.0.1:99999999999999999999" }) {
        values.push_back(entryWith("address", fmt::format("\"{}\"", address)));
    }
    for (const auto &value : values) {
        CAPTURE(value.substr(0, 200), value.size());
        CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "i-1", value), Error);
    }
    CHECK_NOTHROW(decode(FeedTopic::Upstreams, "i-1", entryWith("coldLeftMs", "0.5")));
    CHECK_NOTHROW(decode(FeedTopic::Upstreams, "i-1", entryWith("address", R"("[fd00::1]:8080")")));
    CHECK_NOTHROW(decode(FeedTopic::Upstreams, "i-1", entryWith("address", R"("10.0.0.1:65535")")));
    CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "", entryWith("slots", "4")), Error);
}

// Guards against heads that are injected by the store: ids, addresses and names of teams are sent in header fields.
TEST_CASE("Records whose names can't be sent in header fields are rejected")
{
    for (const auto *id : { "i-1\r\nX-Tenant: a", "i-1\n", " i-1", "i\x01" }) {
        CAPTURE(id);
        CHECK_THROWS_AS(decode(FeedTopic::Upstreams, id, entryWith("slots", "4")), Error);
    }
    CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "i-1", entryWith("address", R"("10.0.0.1:\r\n80")")), Error);
    CHECK_THROWS_AS(decode(FeedTopic::Upstreams, "i-1", entryWith("address", R"("10.0.0.1: 80")")), Error);
    CHECK_THROWS_AS(decode(FeedTopic::Operators, "config", R"({"version":1,"routes":[],"tenants":[{"name":"t\r\nX-Hold: 1","apiKeys":["k"]}]})"), Error);
    CHECK_NOTHROW(decode(FeedTopic::Operators, "config", R"({"version":1,"routes":[],"tenants":[{"name":"t","apiKeys":["k"]}]})"));
}

TEST_CASE("Operators' records that are nested very deeply or with numbers out of range are rejected like other malformed ones")
{
    for (const auto &value : std::vector<std::string> {
             repeat("[", 1'000'000),
             R"({"version":)" + repeat("[", 1'000'000),
             std::string(R"({"version":1e400,"routes":[]})"),
             std::string(R"({"version":-1,"routes":[]})"),
             std::string(R"({"version":99999999999999999999999,"routes":[]})"),
             std::string(R"({"version":1,"routes":[7]})"),
             std::string(R"({"version":1,"routes":[null]})"),
             std::string(R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent","service":"a","timeoutMs":1e300}]})"),
             std::string(R"({"version":1,"routes":[],"tenants":[{"name":"t","apiKeys":[7]}]})") }) {
        CAPTURE(value.substr(0, 200));
        CHECK_THROWS_AS(decode(FeedTopic::Operators, "config", value), Error);
    }
}
