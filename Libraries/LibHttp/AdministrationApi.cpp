#include <LibHttp/AdministrationApi.h>

#include <LibConfig/FieldReader.h>
#include <LibCore/Error.h>
#include <LibHttp/ChangeFailure.h>

#include <array>
#include <charconv>

namespace Lovageward {

namespace {

constexpr std::string_view pathPrefix = "/admin/v1/";
constexpr std::size_t defaultAuditLines = 50;
constexpr std::size_t mostAuditLines = 1000;
// Matches the isolation time of a node (docs/design.md, section 4.1).
constexpr Duration logContactTime = seconds(6);
// The previous key stays valid so that callers can be moved over without a refusal.
constexpr std::size_t keysAfterRotation = 2;

struct Collection
{
    std::string_view name;
    EntityKind kind;
};

constexpr auto collections = std::to_array<Collection>({
    { "teams", EntityKind::Team },
    { "classes", EntityKind::WorkClass },
    { "models", EntityKind::Model },
    { "pools", EntityKind::Pool },
    { "drains", EntityKind::Drain },
});

[[noreturn]] void refuse(ResultCode code, const std::string &message)
{
    throw Error(code, RunState::NotRun, message);
}

std::vector<std::string> splitPath(std::string_view path)
{
    if (!path.starts_with(pathPrefix)) {
        refuse(ResultCode::NotFound, "no such resource");
    }
    std::vector<std::string> parts;
    path.remove_prefix(pathPrefix.size());
    while (true) {
        auto slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return parts;
        }
        path.remove_prefix(slash + 1);
    }
}

std::uint64_t numberParameter(const AdministrationRequest &request, const std::string &name, std::optional<std::uint64_t> fallback)
{
    auto found = request.query.find(name);
    if (found == request.query.end()) {
        if (fallback) {
            return *fallback;
        }
        refuse(ResultCode::BadRequest, fmt::format("the query parameter '{}' is missing", name));
    }
    const auto &text = found->second;
    std::uint64_t number = 0;
    auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc() || end != text.data() + text.size()) {
        refuse(ResultCode::BadRequest, fmt::format("the query parameter '{}' is not a whole number", name));
    }
    return number;
}

}

AdministrationApi::AdministrationApi(AdministrationKeys keys,
                                     Duration changeTimeout,
                                     const Clock &clock,
                                     RandomSource &random,
                                     LogSink &sink,
                                     Counters &counters,
                                     ConfigStore &store,
                                     const AuditTrail &auditTrail,
                                     const Membership &membership,
                                     const UpstreamTable &upstreams,
                                     OrderDesk *orderDesk)
    : keys(std::move(keys))
    , changeTimeout(changeTimeout)
    , clock(clock)
    , random(random)
    , logger(sink, "admin")
    , counters(counters)
    , store(store)
    , auditTrail(auditTrail)
    , membership(membership)
    , upstreams(upstreams)
    , orderDesk(orderDesk)
{
}

bool AdministrationApi::isKnownKey(std::string_view bearerKey) const
{
    return this->keys.identify(bearerKey).has_value();
}

AdministrationResponse AdministrationApi::handle(const AdministrationRequest &request)
{
    auto code = ResultCode::Ok;
    JsonObject json;
    try {
        auto identity = this->keys.identify(request.bearerKey);
        if (!identity) {
            refuse(ResultCode::Unauthenticated, "the key is missing or not known");
        }
        json = this->dispatch(Call { request, *identity, splitPath(request.path) });
    } catch (const ChangeFailure &failure) {
        code = failure.code();
        json = failure.toJson();
    } catch (const Error &error) {
        code = error.code();
        json = errorJson(code, error.runState(), error.what());
    } catch (const std::exception &error) {
        this->logger.error("{} {} failed: {}", request.method, request.path, error.what());
        code = ResultCode::Internal;
        json = errorJson(code, RunState::Unknown, "internal error");
    }
    this->counters.counter(fmt::format("lovageward_admin_requests_total{{code=\"{}\"}}", resultName(code))).add();
    return AdministrationResponse { httpStatus(code), toText(json) };
}

JsonObject AdministrationApi::dispatch(const Call &call)
{
    const auto &resource = call.parts.front();
    auto hasShape = [&call, &resource](std::string_view method, std::string_view name, std::size_t parts) {
        return call.request.method == method && resource == name && call.parts.size() == parts;
    };
    for (const auto &collection : collections) {
        if (resource == collection.name && call.parts.size() <= 2) {
            return this->entityCall(call, collection.kind);
        }
    }
    if (hasShape("GET", "status", 1)) {
        return this->status();
    }
    if (hasShape("GET", "changes", 2)) {
        return this->changeProgress(call.parts[1]);
    }
    if (hasShape("GET", "audit", 1)) {
        return this->audit(call);
    }
    if (hasShape("GET", "orders", 1) || hasShape("POST", "orders", 1)) {
        return this->orders(call);
    }
    if (hasShape("POST", "team-keys", 1)) {
        return this->rotateTeamKey(call);
    }
    refuse(ResultCode::NotFound, "no such resource or method");
}

JsonObject AdministrationApi::entityCall(const Call &call, EntityKind kind)
{
    const auto &method = call.request.method;
    if (call.parts.size() == 1 && method == "GET") {
        return this->listEntities(call, kind);
    }
    if (call.parts.size() == 1) {
        refuse(ResultCode::BadRequest, "the id is missing in the path");
    }
    auto key = parseEntityKey(toText(EntityKey { kind, call.parts[1] }));
    if (method == "GET") {
        return this->showEntity(call, key);
    }
    if (method == "PUT" || method == "DELETE") {
        return this->changeEntity(call, key);
    }
    refuse(ResultCode::BadRequest, fmt::format("the method {} is not supported here", method.substr(0, 16)));
}

JsonObject AdministrationApi::listEntities(const Call &call, EntityKind kind) const
{
    JsonArray items(new Poco::JSON::Array);
    for (const auto &[key, value] : this->store.entities(kind)) {
        auto isOtherTeam = kind == EntityKind::Team && key.id != call.identity.team.value();
        if (call.identity.role == AdministrationRole::TeamOwner && isOtherTeam) {
            continue;
        }
        items->add(toJson(key, value));
    }
    auto json = newJsonObject();
    json->set("configOffset", this->store.appliedOffset().value());
    json->set("items", items);
    return json;
}

JsonObject AdministrationApi::showEntity(const Call &call, const EntityKey &key) const
{
    this->requireReader(call, key.kind, key.id);
    auto found = this->store.entity(key);
    if (!found) {
        refuse(ResultCode::NotFound, fmt::format("{} doesn't exist", toText(key)));
    }
    // A deleted entity is shown with its version and no value, since a new change has to be based on that version.
    return toJson(key, *found);
}

JsonObject AdministrationApi::changeEntity(const Call &call, const EntityKey &key)
{
    requireOperator(call);
    ChangeRequest change { this->store.newRecordId(), call.identity.actor, key, Offset(), std::nullopt };
    change.basedOn = Offset(numberParameter(call.request, "basedOn", std::nullopt));
    if (call.request.method == "PUT") {
        change.value = call.request.body;
    }
    return this->submit(change);
}

JsonObject AdministrationApi::submit(const ChangeRequest &change)
{
    auto decision = this->decisionOn(change);
    if (decision.outcome != ChangeOutcome::Accepted) {
        throw ChangeFailure(decision);
    }
    auto json = toJson(decision);
    json->set("version", decision.offset.value());
    json->set("inForce", toJson(inForce(this->membership, this->store.appliedOffset(), decision.offset)));
    return json;
}

ChangeDecision AdministrationApi::decisionOn(const ChangeRequest &change)
{
    try {
        return this->store.submit(change, this->clock.now() + this->changeTimeout);
    } catch (const Error &error) {
        throw ChangeFailure(error, change.recordId);
    }
}

JsonObject AdministrationApi::status() const
{
    auto self = this->membership.self();
    auto json = newJsonObject();
    json->set("host", self.host.value());
    json->set("region", self.region.value());
    json->set("failureDomain", self.failureDomain.value());
    json->set("configOffset", this->store.appliedOffset().value());
    json->set("configReady", this->store.isReady());
    json->set("configNeedsCheckpoint", this->store.needsCheckpoint());
    json->set("logReachable", this->store.hasReachedLogSince(this->clock.now() - logContactTime));
    json->set("peersReachable", this->membership.canReachAnyPeer());
    json->set("inForce", toJson(inForce(this->membership, this->store.appliedOffset(), this->store.appliedOffset())));
    JsonArray members(new Poco::JSON::Array);
    for (const auto &member : this->membership.liveMembers()) {
        auto entry = newJsonObject();
        entry->set("host", member.host.value());
        entry->set("region", member.region.value());
        entry->set("failureDomain", member.failureDomain.value());
        entry->set("configOffset", member.configOffset.value());
        members->add(entry);
    }
    json->set("members", members);
    json->set("pools", poolSummary(this->upstreams));
    JsonArray drained(new Poco::JSON::Array);
    for (const auto &domain : this->store.drainedDomains()) {
        drained->add(domain.value());
    }
    json->set("drained", drained);
    return json;
}

JsonObject AdministrationApi::changeProgress(const std::string &recordId) const
{
    auto decision = this->store.decisionOn(RecordId(recordId));
    if (!decision) {
        refuse(ResultCode::NotFound, "this node has not read the record; it may not have been appended yet");
    }
    // A team owner may ask about the own changes, but the values are for the audit trail.
    auto json = newJsonObject();
    json->set("recordId", recordId);
    json->set("outcome", std::string(outcomeName(decision->outcome)));
    json->set("offset", decision->offset.value());
    json->set("inForce", toJson(inForce(this->membership, this->store.appliedOffset(), decision->offset)));
    return json;
}

JsonObject AdministrationApi::audit(const Call &call) const
{
    requireUnrestrictedReader(call);
    auto limit = std::min<std::uint64_t>(numberParameter(call.request, "limit", defaultAuditLines), mostAuditLines);
    std::optional<EntityKey> key;
    auto entity = call.request.query.find("entity");
    if (entity != call.request.query.end()) {
        key = parseEntityKey(entity->second);
    }
    JsonArray items(new Poco::JSON::Array);
    for (const auto &decision : this->auditTrail.newest(limit, key)) {
        items->add(toJson(decision));
    }
    auto json = newJsonObject();
    json->set("items", items);
    return json;
}

JsonObject AdministrationApi::orders(const Call &call)
{
    if (this->orderDesk == nullptr) {
        refuse(ResultCode::OrderRejected, "this node takes no orders");
    }
    if (call.request.method == "POST") {
        requireOperator(call);
        auto order = parsePoolOrder(call.request.body);
        this->logger.info("order for pool {} by {}", order.pool.value(), call.identity.actor);
        return toJson(this->orderDesk->submit(order, this->clock.now() + this->changeTimeout));
    }
    requireUnrestrictedReader(call);
    JsonArray items(new Poco::JSON::Array);
    for (const auto &progress : this->orderDesk->orders()) {
        items->add(toJson(progress));
    }
    auto json = newJsonObject();
    json->set("items", items);
    return json;
}

JsonObject AdministrationApi::rotateTeamKey(const Call &call)
{
    FieldReader reader("team-keys", call.request.body);
    auto id = reader.text("team");
    auto revokesOthers = reader.flag("revokeOthers", false);
    reader.rejectUnknownFields();
    auto ownsTeam = call.identity.role == AdministrationRole::TeamOwner && call.identity.team.value() == id;
    if (!ownsTeam) {
        requireOperator(call);
    }
    auto key = parseEntityKey(toText(EntityKey { EntityKind::Team, id }));
    auto current = this->store.entity(key);
    if (!current || !current->entity) {
        refuse(ResultCode::NotFound, fmt::format("{} doesn't exist", toText(key)));
    }
    auto team = std::get<Team>(*current->entity);
    auto bearerKey = "lw_" + this->random.hexId() + this->random.hexId();
    auto kept = revokesOthers ? 0 : std::min(team.keyHashes.size(), keysAfterRotation - 1);
    team.keyHashes.erase(team.keyHashes.begin(), team.keyHashes.end() - static_cast<std::ptrdiff_t>(kept));
    team.keyHashes.push_back(hashOfKey(bearerKey));
    auto json = this->submit(ChangeRequest { this->store.newRecordId(), call.identity.actor, key, current->version, encodeEntity(team) });
    auto answer = newJsonObject();
    answer->set("team", id);
    answer->set("key", bearerKey);
    answer->set("recordId", json->getValue<std::string>("recordId"));
    answer->set("version", json->getValue<std::uint64_t>("version"));
    return answer;
}

void AdministrationApi::requireReader(const Call &call, EntityKind kind, const std::string &id) const
{
    auto isRestricted = call.identity.role == AdministrationRole::TeamOwner && kind == EntityKind::Team;
    if (isRestricted && call.identity.team.value() != id) {
        refuse(ResultCode::Forbidden, "a team owner reads only the own team");
    }
}

void AdministrationApi::requireOperator(const Call &call)
{
    if (call.identity.role != AdministrationRole::Operator) {
        refuse(ResultCode::Forbidden, "this needs the role operator");
    }
}

void AdministrationApi::requireUnrestrictedReader(const Call &call)
{
    if (call.identity.role == AdministrationRole::TeamOwner) {
        refuse(ResultCode::Forbidden, "this needs the role operator or read-only");
    }
}

}
