#pragma once

#include <LibConfig/EntityKey.h>

#include <string>
#include <vector>

namespace Lovageward {

enum class FieldType {
    Text,
    Number,
    Flag,
    List,
};

/** A field of an entity that operators set by a flag. */
struct EntityField
{
    std::string flag;
    /** Name in the JSON value. */
    std::string name;
    FieldType type;
    std::string help;
};

/** What the command line knows about one kind of entity. */
struct EntityCommand
{
    /** Subcommand, for example "team". */
    std::string name;
    EntityKind kind;
    /** Path of the collection, for example "teams". */
    std::string collection;
    std::vector<EntityField> fields;
};

/** All kinds of entities, in the order of the help text. */
const std::vector<EntityCommand> &entityCommands();

}
