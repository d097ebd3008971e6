#include <LibHttp/AdministrationJson.h>

#include <LibConfig/FieldReader.h>
#include <LibCore/Error.h>

#include <Poco/JSON/Parser.h>

#include <array>
#include <sstream>

namespace Lovageward {

namespace {

struct OrderKindName
{
    PoolOrderKind kind;
    std::string_view name;
};

constexpr auto orderKindNames = std::to_array<OrderKindName>({
    { PoolOrderKind::LoadModel, "LoadModel" },
    { PoolOrderKind::LoadAdapter, "LoadAdapter" },
    { PoolOrderKind::LoadVersion, "LoadVersion" },
    { PoolOrderKind::ChangeRole, "ChangeRole" },
});

std::string nameOf(PoolOrderKind kind)
{
    for (const auto &entry : orderKindNames) {
        if (entry.kind == kind) {
            return std::string(entry.name);
        }
    }
    return "unknown";
}

PoolOrderKind parseOrderKind(FieldReader &reader)
{
    auto name = reader.text("kind");
    for (const auto &entry : orderKindNames) {
        if (entry.name == name) {
            return entry.kind;
        }
    }
    reader.reject("kind", "is not one of LoadModel, LoadAdapter, LoadVersion, ChangeRole");
}

/** An entity's stored JSON as a value within an answer; null if there is none. */
Poco::Dynamic::Var embedded(const std::optional<std::string> &json)
{
    if (!json) {
        return {};
    }
    try {
        Poco::JSON::Parser parser;
        return parser.parse(*json);
    } catch (const std::exception &) {
        // The value of a rejected change needn't be JSON; the audit trail shows it as text.
        return *json;
    }
}

struct PoolCounts
{
    std::uint32_t cold = 0;
    std::uint32_t warm = 0;
    std::uint32_t leaving = 0;
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;

    void add(const UpstreamState &upstream)
    {
        this->cold += upstream.report.phase == UpstreamPhase::Cold ? 1 : 0;
        this->warm += upstream.report.phase == UpstreamPhase::Warm ? 1 : 0;
        this->leaving += upstream.report.phase == UpstreamPhase::Leaving ? 1 : 0;
        this->running += upstream.report.running;
        this->waiting += upstream.report.waiting;
    }
};

}

JsonObject newJsonObject()
{
    return JsonObject(new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER));
}

JsonObject parseJsonObject(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<JsonObject>();
    } catch (const std::exception &) {
        throw Error(ResultCode::MalformedJson, RunState::NotRun, "the body is not a JSON object");
    }
}

std::string toText(const JsonObject &object)
{
    std::ostringstream stream;
    object->stringify(stream);
    return stream.str();
}

JsonObject toJson(const EntityKey &key, const VersionedEntity &value)
{
    auto json = newJsonObject();
    json->set("id", key.id);
    json->set("version", value.version.value());
    json->set("recordId", value.recordId.value());
    json->set("actor", value.actor);
    json->set("value", embedded(value.entity ? std::optional<std::string>(value.json) : std::nullopt));
    return json;
}

JsonObject toJson(const InForce &summary)
{
    JsonArray behind(new Poco::JSON::Array);
    for (const auto &member : summary.behind) {
        auto entry = newJsonObject();
        entry->set("host", member.host.value());
        entry->set("configOffset", member.configOffset.value());
        behind->add(entry);
    }
    auto json = newJsonObject();
    json->set("liveNodes", summary.liveNodes);
    json->set("nodesInForce", summary.nodesInForce);
    json->set("everywhere", summary.isEverywhere());
    json->set("behind", behind);
    return json;
}

JsonObject toJson(const ChangeDecision &decision)
{
    const auto &change = decision.change;
    auto json = newJsonObject();
    json->set("recordId", change.recordId.value());
    json->set("outcome", std::string(outcomeName(decision.outcome)));
    json->set("offset", decision.offset.value());
    json->set("appendedAtMs", toMilliseconds(decision.appendedAt));
    // A decision from before this node's start is known only by its id.
    if (change.key.id.empty()) {
        return json;
    }
    json->set("actor", change.actor);
    json->set("madeAtMs", toMilliseconds(change.madeAt));
    json->set("entity", toText(change.key));
    json->set("basedOn", change.basedOn.value());
    json->set("oldValue", embedded(decision.oldValue));
    json->set("newValue", embedded(change.value));
    if (decision.outcome == ChangeOutcome::Conflict) {
        json->set("winnerVersion", decision.winnerVersion.value());
        json->set("winnerRecordId", decision.winnerRecord.value());
        json->set("winnerActor", decision.winnerActor);
    }
    if (!decision.problem.empty()) {
        json->set("problem", decision.problem);
    }
    return json;
}

JsonObject toJson(const PoolOrderProgress &progress)
{
    auto json = newJsonObject();
    json->set("pool", progress.order.pool.value());
    json->set("kind", nameOf(progress.order.kind));
    json->set("model", progress.order.model.value());
    json->set("upstreams", progress.upstreams);
    json->set("done", progress.done);
    json->set("failed", progress.failed);
    json->set("note", progress.note);
    return json;
}

PoolOrder parsePoolOrder(const std::string &text)
{
    FieldReader reader("order", text);
    PoolOrder order;
    order.pool = PoolId(reader.text("pool"));
    order.kind = parseOrderKind(reader);
    order.model = ModelId(reader.text("model"));
    reader.rejectUnknownFields();
    return order;
}

JsonArray poolSummary(const UpstreamTable &upstreams)
{
    std::map<PoolId, PoolCounts> pools;
    for (const auto &upstream : upstreams.allUpstreams()) {
        pools[upstream.pool].add(upstream);
    }
    JsonArray list(new Poco::JSON::Array);
    for (const auto &[pool, counts] : pools) {
        auto json = newJsonObject();
        json->set("pool", pool.value());
        json->set("cold", counts.cold);
        json->set("warm", counts.warm);
        json->set("leaving", counts.leaving);
        json->set("running", counts.running);
        json->set("waiting", counts.waiting);
        list->add(json);
    }
    return list;
}

JsonObject errorJson(ResultCode code, RunState runState, const std::string &message)
{
    auto error = newJsonObject();
    error->set("code", static_cast<int>(code));
    error->set("name", std::string(resultName(code)));
    error->set("message", message);
    error->set("run_state", std::string(runStateName(runState)));
    auto json = newJsonObject();
    json->set("error", error);
    return json;
}

}
