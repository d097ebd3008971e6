#include <LibConfig/EntityCodec.h>

#include <LibConfig/FieldReader.h>
#include <LibCore/Error.h>

#include <Poco/DigestEngine.h>
#include <Poco/JSON/Array.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace Lovageward {

namespace {

using Json = Poco::JSON::Object;

template<typename Value>
using NameTable = std::vector<std::pair<std::string_view, Value>>;

const NameTable<CallKind> callKinds = { { "generation", CallKind::Generation }, { "service", CallKind::Service } };
const NameTable<DeliveryMode> deliveryModes = { { "stream", DeliveryMode::Stream }, { "hold", DeliveryMode::Hold } };
const NameTable<TargetKind> targetKinds = {
    { "completion", TargetKind::Completion },
    { "firstToken", TargetKind::FirstToken },
    { "tokenGap", TargetKind::TokenGap },
};
const NameTable<FencingSupport> fencingSupports = {
    { "honours", FencingSupport::Honours },
    { "ignores", FencingSupport::Ignores },
    { "unchecked", FencingSupport::Unchecked },
};

constexpr std::uint64_t maximumCount = 1'000'000;
constexpr std::uint64_t maximumShare = 1'000;
// Long plans run through the night; a longer target is a typing error.
constexpr std::uint64_t maximumTargetMilliseconds = 24ULL * 3600 * 1000;

template<typename Value>
Value choice(FieldReader &reader, const std::string &field, Value fallback, const NameTable<Value> &names)
{
    if (!reader.has(field)) {
        return fallback;
    }
    auto text = reader.text(field);
    std::string known;
    for (const auto &[name, value] : names) {
        if (name == text) {
            return value;
        }
        known += known.empty() ? "" : ", ";
        known += name;
    }
    reader.reject(field, "is not one of " + known);
}

template<typename Value>
std::string nameOf(Value value, const NameTable<Value> &names)
{
    for (const auto &[name, candidate] : names) {
        if (candidate == value) {
            return std::string(name);
        }
    }
    return "unknown";
}

/** Reads an optional reference to another entity. */
std::string reference(FieldReader &reader, const std::string &field, EntityKind kind)
{
    auto id = reader.text(field, "");
    try {
        return id.empty() ? id : parseEntityKey(toText(EntityKey { kind, id })).id;
    } catch (const Error &) {
        reader.reject(field, "is not a valid id");
    }
}

Team decodeTeam(FieldReader &reader)
{
    Team team;
    team.keyHashes = reader.texts("keyHashes");
    if (!std::all_of(team.keyHashes.begin(), team.keyHashes.end(), isKeyHash)) {
        reader.reject("keyHashes", "holds something that is not a lower-case hexadecimal SHA-256");
    }
    team.maximumConcurrent = static_cast<std::uint32_t>(reader.number("maximumConcurrent", team.maximumConcurrent, 1, maximumCount));
    team.share = static_cast<std::uint32_t>(reader.number("share", team.share, 1, maximumShare));
    return team;
}

void checkWorkClass(FieldReader &reader, const WorkClass &workClass)
{
    if (workClass.kind == CallKind::Generation) {
        if (workClass.model.isEmpty()) {
            reader.reject("model", "is missing, which a generation class needs");
        }
        if (!workClass.pool.isEmpty() || !workClass.operation.empty()) {
            reader.reject("pool", "and 'operation' are only for service classes");
        }
        return;
    }
    if (workClass.pool.isEmpty() || workClass.operation.empty()) {
        reader.reject("pool", "or 'operation' is missing, which a service class needs");
    }
    if (!workClass.model.isEmpty()) {
        reader.reject("model", "is only for generation classes");
    }
}

WorkClass decodeWorkClass(FieldReader &reader)
{
    WorkClass workClass;
    workClass.kind = choice(reader, "kind", workClass.kind, callKinds);
    workClass.model = ModelId(reference(reader, "model", EntityKind::Model));
    workClass.pool = PoolId(reference(reader, "pool", EntityKind::Pool));
    workClass.operation = reader.text("operation", "");
    workClass.target = choice(reader, "target", workClass.target, targetKinds);
    auto defaultTime = std::chrono::duration_cast<milliseconds>(workClass.targetTime).count();
    auto targetTime = reader.number("targetTimeMs", static_cast<std::uint64_t>(defaultTime), 1, maximumTargetMilliseconds);
    workClass.targetTime = milliseconds(targetTime);
    workClass.isRepeatable = reader.flag("repeatable", workClass.isRepeatable);
    workClass.delivery = choice(reader, "delivery", workClass.delivery, deliveryModes);
    workClass.isOwnRegionOnly = reader.flag("ownRegionOnly", workClass.isOwnRegionOnly);
    checkWorkClass(reader, workClass);
    return workClass;
}

Model decodeModel(FieldReader &reader)
{
    Model model;
    model.version = reader.text("version", "");
    model.adapters = reader.texts("adapters");
    return model;
}

Pool decodePool(FieldReader &reader)
{
    Pool pool;
    for (const auto &model : reader.texts("models")) {
        pool.models.emplace_back(model);
    }
    pool.fencing = choice(reader, "fencing", pool.fencing, fencingSupports);
    pool.minimumWarmPercent = static_cast<std::uint32_t>(reader.number("minimumWarmPercent", pool.minimumWarmPercent, 0, 100));
    return pool;
}

Entity decodeFields(const EntityKey &key, FieldReader &reader)
{
    switch (key.kind) {
    case EntityKind::Team: {
        auto team = decodeTeam(reader);
        team.id = TeamId(key.id);
        return team;
    }
    case EntityKind::WorkClass: {
        auto workClass = decodeWorkClass(reader);
        workClass.id = WorkClassId(key.id);
        return workClass;
    }
    case EntityKind::Model: {
        auto model = decodeModel(reader);
        model.id = ModelId(key.id);
        return model;
    }
    case EntityKind::Pool: {
        auto pool = decodePool(reader);
        pool.id = PoolId(key.id);
        return pool;
    }
    case EntityKind::Drain:
        break;
    }
    return Drain { FailureDomainId(key.id), reader.text("reason", "") };
}

Poco::JSON::Array::Ptr arrayOf(const std::vector<std::string> &texts)
{
    Poco::JSON::Array::Ptr list(new Poco::JSON::Array);
    for (const auto &text : texts) {
        list->add(text);
    }
    return list;
}

void write(Json &json, const Team &team)
{
    json.set("id", team.id.value());
    json.set("keyHashes", arrayOf(team.keyHashes));
    json.set("maximumConcurrent", team.maximumConcurrent);
    json.set("share", team.share);
}

void write(Json &json, const WorkClass &workClass)
{
    json.set("id", workClass.id.value());
    json.set("kind", nameOf(workClass.kind, callKinds));
    if (workClass.kind == CallKind::Generation) {
        json.set("model", workClass.model.value());
    } else {
        json.set("pool", workClass.pool.value());
        json.set("operation", workClass.operation);
    }
    json.set("target", nameOf(workClass.target, targetKinds));
    json.set("targetTimeMs", std::chrono::duration_cast<milliseconds>(workClass.targetTime).count());
    json.set("repeatable", workClass.isRepeatable);
    json.set("delivery", nameOf(workClass.delivery, deliveryModes));
    json.set("ownRegionOnly", workClass.isOwnRegionOnly);
}

void write(Json &json, const Model &model)
{
    json.set("id", model.id.value());
    json.set("version", model.version);
    json.set("adapters", arrayOf(model.adapters));
}

void write(Json &json, const Pool &pool)
{
    std::vector<std::string> models;
    for (const auto &model : pool.models) {
        models.push_back(model.value());
    }
    json.set("id", pool.id.value());
    json.set("models", arrayOf(models));
    json.set("fencing", nameOf(pool.fencing, fencingSupports));
    json.set("minimumWarmPercent", pool.minimumWarmPercent);
}

void write(Json &json, const Drain &drain)
{
    json.set("id", drain.failureDomain.value());
    json.set("reason", drain.reason);
}

}

Entity decodeEntity(const EntityKey &key, const std::string &json, UnknownFields unknownFields)
{
    FieldReader reader(toText(key), json);
    if (reader.text("id", key.id) != key.id) {
        reader.reject("id", "differs from the key");
    }
    auto entity = decodeFields(key, reader);
    if (unknownFields == UnknownFields::Reject) {
        reader.rejectUnknownFields();
    }
    return entity;
}

std::string encodeEntity(const Entity &entity)
{
    Json json(Poco::JSON_PRESERVE_KEY_ORDER);
    std::visit([&json](const auto &value) { write(json, value); }, entity);
    std::ostringstream stream;
    json.stringify(stream);
    return stream.str();
}

std::string hashOfKey(std::string_view bearerKey)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(bearerKey.data(), static_cast<unsigned>(bearerKey.size()));
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool isKeyHash(std::string_view text)
{
    constexpr std::size_t hashLength = 64;
    auto isDigit = [](char letter) { return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f'); };
    return text.size() == hashLength && std::all_of(text.begin(), text.end(), isDigit);
}

}
