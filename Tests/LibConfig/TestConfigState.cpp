#include <LibConfig/ConfigState.h>
#include <LibCore/Error.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** Applies changes at offsets 1, 2, 3 and so on, one log second apart. */
class StateFixture
{
protected:
    ChangeDecision apply(const std::string &key, std::uint64_t basedOn, const std::string &value, const std::string &recordId = "")
    {
        ++this->offset;
        auto id = RecordId(recordId.empty() ? "record-" + std::to_string(this->offset) : recordId);
        auto json = value.empty() ? std::nullopt : std::optional<std::string>(value);
        auto appendedAt = seconds(this->offset) + this->extra;
        ConfigChange change { id, "asha", WallTime(appendedAt - this->delay), parseEntityKey(key), Offset(basedOn), json };
        return this->state.apply(Offset(this->offset), LogTime(appendedAt), change);
    }

    ConfigState state;
    std::uint64_t offset = 0;
    Duration extra = Duration(0);
    /** Time between the making of a change and its append. */
    Duration delay = Duration(0);
};

}

TEST_CASE_METHOD(StateFixture, "Only a change that is based on the current version is accepted", "[config]")
{
    struct Case
    {
        const char *key;
        std::uint64_t basedOn;
        const char *value;
        ChangeOutcome outcome;
        const char *guards;
    };
    const std::vector<Case> cases = {
        { "model/m", 0, "{}", ChangeOutcome::Accepted, "a new entity" },
        { "model/m", 0, R"({"version":"2"})", ChangeOutcome::Conflict, "two operators create the same entity" },
        { "model/m", 1, R"({"version":"3"})", ChangeOutcome::Accepted, "a change based on the version seen" },
        { "model/m", 1, R"({"version":"4"})", ChangeOutcome::Conflict, "two operators change the same version" },
        { "model/m", 9, R"({"version":"5"})", ChangeOutcome::Conflict, "a version that never was" },
        { "model/x", 4, "{}", ChangeOutcome::Conflict, "a version of an entity that never was" },
        { "model/x", 0, "", ChangeOutcome::Invalid, "deleting what never was" },
        { "pool/p", 0, R"({"models":["nix"]})", ChangeOutcome::Invalid, "a pool of an unknown model" },
        { "pool/p", 0, R"({"models":["m"]})", ChangeOutcome::Accepted, "a pool of a known model" },
        { "class/c", 0, R"({"model":"nix"})", ChangeOutcome::Invalid, "a class of an unknown model" },
        { "class/c", 0, R"({"kind":"service","pool":"q","operation":"o"})", ChangeOutcome::Invalid, "a class of an unknown pool" },
        { "class/c", 0, R"({"kind":"service","pool":"p","operation":"o"})", ChangeOutcome::Accepted, "a class of a known pool" },
        { "model/m", 3, "", ChangeOutcome::Invalid, "deleting a model that a pool serves" },
        { "pool/p", 9, "", ChangeOutcome::Invalid, "deleting a pool that a class uses" },
        { "class/c", 12, "", ChangeOutcome::Accepted, "deleting an entity" },
        { "class/c", 12, R"({"model":"m"})", ChangeOutcome::Conflict, "a delayed old change after the deletion" },
        { "class/c", 0, R"({"model":"m"})", ChangeOutcome::Conflict, "a delayed creation after the deletion" },
        { "class/c", 15, R"({"model":"m"})", ChangeOutcome::Accepted, "creating it again from the tombstone's version" },
        { "team/t", 0, R"({"share":"x"})", ChangeOutcome::Invalid, "a record with a wrong type" },
        { "team/t", 0, "nonsense", ChangeOutcome::Invalid, "a record without JSON" },
    };
    for (const auto &step : cases) {
        CAPTURE(step.guards);
        CHECK(this->apply(step.key, step.basedOn, step.value).outcome == step.outcome);
    }
    CHECK(this->state.find(parseEntityKey("model/m"))->version == Offset(3));
}

TEST_CASE_METHOD(StateFixture, "A conflict names the change that won", "[config]")
{
    this->apply("model/m", 0, "{}", "winner");
    auto decision = this->apply("model/m", 0, R"({"version":"2"})", "loser");
    CHECK(decision.winnerVersion == Offset(1));
    CHECK(decision.winnerRecord == RecordId("winner"));
    CHECK(decision.winnerActor == "asha");
    CHECK(decision.oldValue == R"({"id":"m","version":"","adapters":[]})");
}

TEST_CASE_METHOD(StateFixture, "A duplicate of a rejected record is not accepted when its reference appears later", "[config]")
{
    CHECK(this->apply("class/c", 0, R"({"model":"m"})", "early").outcome == ChangeOutcome::Invalid);
    CHECK(this->apply("model/m", 0, "{}").outcome == ChangeOutcome::Accepted);
    auto restarted = GENERATE(false, true);
    if (restarted) {
        this->state = ConfigState(this->state.checkpoint());
    }
    CHECK(this->apply("class/c", 0, R"({"model":"m"})", "early").outcome == ChangeOutcome::Duplicate);
    CHECK(this->state.find(parseEntityKey("class/c")) == nullptr);
}

TEST_CASE_METHOD(StateFixture, "Recent record ids are forgotten after an hour of log time, so they need bounded memory", "[config]")
{
    this->apply("model/m", 0, "{}", "old");
    CHECK(this->state.recentRecord(RecordId("old")));
    this->extra = minutes(61);
    this->apply("model/n", 0, "{}");
    CHECK_FALSE(this->state.recentRecord(RecordId("old")));
    CHECK(this->state.checkpoint().recent.size() == 1);
}

TEST_CASE_METHOD(StateFixture, "A copy that lands after its record id is forgotten is neither accepted nor taken for the first", "[config]")
{
    this->delay = GENERATE(minutes(31), minutes(90), minutes(-11));
    CHECK(this->apply("model/m", 0, "{}").outcome == ChangeOutcome::Expired);
    this->delay = GENERATE(minutes(29), minutes(-9));
    CHECK(this->apply("model/m", 0, "{}").outcome == ChangeOutcome::Accepted);
}

TEST_CASE_METHOD(StateFixture, "A team can't take over the key of another team", "[config]")
{
    auto keyHash = hashOfKey("secret");
    auto value = R"({"keyHashes":[")" + keyHash + R"("]})";
    CHECK(this->apply("team/a", 0, value).outcome == ChangeOutcome::Accepted);
    CHECK(this->apply("team/b", 0, value).outcome == ChangeOutcome::Invalid);
    CHECK(this->state.teamOfKeyHash(keyHash) == TeamId("a"));
    CHECK(this->apply("team/a", 1, R"({"keyHashes":[]})").outcome == ChangeOutcome::Accepted);
    CHECK_FALSE(this->state.teamOfKeyHash(keyHash));
    CHECK(this->apply("team/b", 0, value).outcome == ChangeOutcome::Accepted);
    CHECK(this->apply("team/b", 4, "").outcome == ChangeOutcome::Accepted);
    CHECK_FALSE(this->state.teamOfKeyHash(keyHash));
}

TEST_CASE_METHOD(StateFixture, "A state from a checkpoint decides like the state that wrote it", "[config]")
{
    this->apply("model/m", 0, "{}");
    this->apply("class/c", 0, R"({"model":"m"})");
    this->apply("class/c", 2, "");
    auto record = decodeRecord(encodeRecord(this->state.checkpoint()));
    ConfigState copy(std::get<Checkpoint>(record));
    CHECK(copy.appliedOffset() == Offset(3));
    CHECK(encodeRecord(copy.checkpoint()) == encodeRecord(this->state.checkpoint()));
    CHECK(copy.find(parseEntityKey("class/c"))->version == Offset(3));
}

TEST_CASE("A cut-off or foreign record is not taken for a configuration record", "[config]")
{
    ConfigChange change { RecordId("r"), "asha", WallTime(), parseEntityKey("model/m"), Offset(0), "{}" };
    auto whole = encodeRecord(change);
    CHECK(std::get<ConfigChange>(decodeRecord(whole)).recordId == RecordId("r"));
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CAPTURE(length);
        CHECK_THROWS_AS(decodeRecord(whole.substr(0, length)), Error);
    }
    change.value = std::string(maximumChangeSize, 'x');
    CHECK_THROWS_AS(decodeRecord(encodeRecord(change)), Error);
    CHECK_THROWS_AS(decodeRecord(R"({"json":true})"), Error);
}
