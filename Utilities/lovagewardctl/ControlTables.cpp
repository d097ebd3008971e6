#include <lovagewardctl/ControlTables.h>

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr std::size_t mostNamesShown = 5;

std::string cellOf(const Poco::Dynamic::Var &value)
{
    if (value.isEmpty()) {
        return "-";
    }
    if (value.type() == typeid(JsonArray)) {
        std::string text;
        for (const auto &item : *value.extract<JsonArray>()) {
            text += (text.empty() ? "" : ",") + item.toString();
        }
        return text;
    }
    return value.toString();
}

std::string cellOf(const JsonObject &json, const std::string &field)
{
    // Hashes of keys are of no use to a reader; their number is.
    if (field == "keyHashes") {
        return std::to_string(json->getArray(field)->size());
    }
    return json->has(field) ? cellOf(json->get(field)) : "-";
}

std::string tableOf(const JsonArray &items, const std::vector<std::string> &fields)
{
    TextTable table(fields);
    for (std::size_t index = 0; index < items->size(); ++index) {
        auto item = items->getObject(static_cast<unsigned>(index));
        std::vector<std::string> row;
        row.reserve(fields.size());
        for (const auto &field : fields) {
            row.push_back(cellOf(item, field));
        }
        table.addRow(std::move(row));
    }
    return table.text();
}

/** Fields of all values, in the order in which they first appear. */
std::vector<std::string> valueFields(const JsonArray &items)
{
    std::vector<std::string> fields;
    for (std::size_t index = 0; index < items->size(); ++index) {
        for (const auto &name : items->getObject(static_cast<unsigned>(index))->getObject("value")->getNames()) {
            if (name != "id" && std::find(fields.begin(), fields.end(), name) == fields.end()) {
                fields.push_back(name);
            }
        }
    }
    return fields;
}

std::string timeOf(const JsonObject &json, const std::string &field)
{
    constexpr Poco::Timestamp::TimeDiff microsecondsPerMillisecond = 1000;
    Poco::Timestamp time(json->getValue<Poco::Int64>(field) * microsecondsPerMillisecond);
    return Poco::DateTimeFormatter::format(time, "%Y-%m-%d %H:%M:%SZ");
}

std::string valueOf(const JsonObject &json, const std::string &field)
{
    return json->isObject(field) ? toText(json->getObject(field)) : cellOf(json, field);
}

std::string inForceText(const JsonObject &summary)
{
    auto text = fmt::format("in force on {} of {} nodes", summary->getValue<std::uint64_t>("nodesInForce"), summary->getValue<std::uint64_t>("liveNodes"));
    auto behind = summary->getArray("behind");
    std::string names;
    for (std::size_t index = 0; index < std::min(behind->size(), mostNamesShown); ++index) {
        names += (names.empty() ? "" : ", ") + behind->getObject(static_cast<unsigned>(index))->getValue<std::string>("host");
    }
    if (behind->size() > mostNamesShown) {
        names += fmt::format(" and {} more", behind->size() - mostNamesShown);
    }
    return names.empty() ? text : text + "; behind: " + printable(names);
}

}

std::string entityTable(const JsonObject &json)
{
    auto items = json->getArray("items");
    auto fields = valueFields(items);
    std::vector<std::string> header = { "id", "version" };
    header.insert(header.end(), fields.begin(), fields.end());
    TextTable table(header);
    for (std::size_t index = 0; index < items->size(); ++index) {
        auto item = items->getObject(static_cast<unsigned>(index));
        std::vector<std::string> row = { cellOf(item, "id"), cellOf(item, "version") };
        for (const auto &field : fields) {
            row.push_back(cellOf(item->getObject("value"), field));
        }
        table.addRow(std::move(row));
    }
    return table.text();
}

std::string orderTable(const JsonObject &json)
{
    auto items = json->getArray("items");
    if (items.isNull()) {
        items = new Poco::JSON::Array;
        items->add(json);
    }
    return tableOf(items, { "pool", "kind", "model", "upstreams", "done", "failed", "note" });
}

std::string auditTable(const JsonObject &json)
{
    auto items = json->getArray("items");
    TextTable table({ "offset", "time", "actor", "entity", "outcome", "basedOn", "old", "new", "record" });
    for (std::size_t index = 0; index < items->size(); ++index) {
        auto item = items->getObject(static_cast<unsigned>(index));
        table.addRow({ cellOf(item, "offset"),
                       timeOf(item, "appendedAtMs"),
                       cellOf(item, "actor"),
                       cellOf(item, "entity"),
                       cellOf(item, "outcome"),
                       cellOf(item, "basedOn"),
                       valueOf(item, "oldValue"),
                       valueOf(item, "newValue"),
                       cellOf(item, "recordId") });
    }
    return table.text();
}

std::string statusText(const JsonObject &json)
{
    TextTable node({ "node", cellOf(json, "host") });
    for (const auto *field :
         { "region", "failureDomain", "configOffset", "configReady", "configNeedsCheckpoint", "logReachable", "peersReachable", "drained" }) {
        node.addRow({ field, cellOf(json, field) });
    }
    node.addRow({ "newest change", inForceText(json->getObject("inForce")) });
    return node.text() + "\n" + tableOf(json->getArray("members"), { "host", "region", "failureDomain", "configOffset" }) + "\n"
        + tableOf(json->getArray("pools"), { "pool", "warm", "cold", "leaving", "running", "waiting" });
}

std::string progressText(const JsonObject &json)
{
    return fmt::format("{}, {}", json->getValue<std::string>("outcome"), inForceText(json->getObject("inForce")));
}

}
