#pragma once

#include <LibConfig/ConfigStore.h>
#include <LibConfig/InForce.h>
#include <LibCore/ResultCode.h>
#include <LibLease/OrderDesk.h>
#include <LibPolicy/UpstreamTable.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace Lovageward {

using JsonObject = Poco::JSON::Object::Ptr;
using JsonArray = Poco::JSON::Array::Ptr;

/** An object that keeps the order in which its fields are set. */
JsonObject newJsonObject();

/** Parses a JSON object. Throws Error(MalformedJson). */
JsonObject parseJsonObject(const std::string &text);

std::string toText(const JsonObject &object);

/** `{"id", "version", "recordId", "actor", "value"}`. */
JsonObject toJson(const EntityKey &key, const VersionedEntity &value);

/** `{"liveNodes", "nodesInForce", "everywhere", "behind": [{"host", "configOffset"}]}`. */
JsonObject toJson(const InForce &summary);

/** One line of the audit trail. */
JsonObject toJson(const ChangeDecision &decision);

JsonObject toJson(const PoolOrderProgress &progress);

/** Reads `{"pool", "kind", "model"}`. Throws Error(InvalidValue) with the name of the field. */
PoolOrder parsePoolOrder(const std::string &text);

/** Per pool: number of upstreams in each phase and their requests. */
JsonArray poolSummary(const UpstreamTable &upstreams);

/** `{"error": {"code", "name", "message", "run_state"}}`. */
JsonObject errorJson(ResultCode code, RunState runState, const std::string &message);

}
