#pragma once

#include <LibConfig/Entities.h>
#include <LibConfig/EntityKey.h>

#include <string>
#include <variant>

namespace Lovageward {

/** The value of a configured thing. */
using Entity = std::variant<Team, WorkClass, Model, Pool, Drain>;

/** What to do with a field that this version doesn't know. */
enum class UnknownFields {
    /** For input of operators, so that a typing error in an optional field is noticed. */
    Reject,
    /** For records from the log: a newer node may have written them, and all nodes must come to the same decision. */
    Ignore,
};

/**
 * Reads the JSON value of the entity with the given key. A field `id` is optional and must match the key.
 * Throws Error(MalformedJson) or Error(InvalidValue) with the name of the field.
 */
Entity decodeEntity(const EntityKey &key, const std::string &json, UnknownFields unknownFields);

/** JSON value with all fields in a fixed order, so that equal entities give equal text. */
std::string encodeEntity(const Entity &entity);

/** Lower-case hexadecimal SHA-256 of a bearer key, as Team::keyHashes holds it. */
std::string hashOfKey(std::string_view bearerKey);

/** True if the text is a lower-case hexadecimal SHA-256. */
bool isKeyHash(std::string_view text);

}
