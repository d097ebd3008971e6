#include <lovagewardctl/EntityFields.h>

namespace Lovageward {

const std::vector<EntityCommand> &entityCommands()
{
    static const std::vector<EntityCommand> commands = {
        { "team",
          EntityKind::Team,
          "teams",
          { { "share", "share", FieldType::Number, "relative share of capacity under contention" },
            { "max-concurrent", "maximumConcurrent", FieldType::Number, "requests at once over one node" } } },
        { "class",
          EntityKind::WorkClass,
          "classes",
          { { "kind", "kind", FieldType::Text, "generation or service" },
            { "model", "model", FieldType::Text, "model of a generation class" },
            { "pool", "pool", FieldType::Text, "pool of a service class" },
            { "operation", "operation", FieldType::Text, "operation of a service class" },
            { "target", "target", FieldType::Text, "completion, firstToken or tokenGap" },
            { "target-ms", "targetTimeMs", FieldType::Number, "target in milliseconds" },
            { "repeatable", "repeatable", FieldType::Flag, "true if a call may run more than once" },
            { "delivery", "delivery", FieldType::Text, "stream or hold" },
            { "own-region-only", "ownRegionOnly", FieldType::Flag, "true if work never crosses to another region" } } },
        { "model",
          EntityKind::Model,
          "models",
          { { "model-version", "version", FieldType::Text, "version of the model" },
            { "adapters", "adapters", FieldType::List, "adapters, separated by commas" } } },
        { "pool",
          EntityKind::Pool,
          "pools",
          { { "models", "models", FieldType::List, "models that the engines serve, separated by commas" },
            { "fencing", "fencing", FieldType::Text, "honours, ignores or unchecked" },
            { "minimum-warm", "minimumWarmPercent", FieldType::Number, "percent of upstreams that orders leave warm" } } },
        { "drain", EntityKind::Drain, "drains", { { "reason", "reason", FieldType::Text, "why the failure domain is taken out" } } },
    };
    return commands;
}

}
