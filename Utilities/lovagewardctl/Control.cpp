#include <lovagewardctl/Control.h>

#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <lovagewardctl/ControlTables.h>
#include <lovagewardctl/HttpAdminTransport.h>

#include <Poco/NumberParser.h>
#include <fmt/format.h>

#include <thread>

namespace Lovageward {

namespace {

// Longer than the time that the API waits for a change.
constexpr Duration requestTimeout = seconds(15);
constexpr Duration pollInterval = milliseconds(500);

[[noreturn]] void refuse(const std::string &message)
{
    throw Error(ResultCode::BadRequest, RunState::NotRun, message + "; see lovagewardctl --help");
}

const std::string &wordAt(const ControlOptions &options, std::size_t index, const char *meaning)
{
    if (options.words.size() <= index) {
        refuse(fmt::format("{} is missing", meaning));
    }
    return options.words[index];
}

JsonArray listOf(const std::string &text)
{
    JsonArray list(new Poco::JSON::Array);
    for (std::size_t start = 0; start < text.size();) {
        auto comma = std::min(text.find(',', start), text.size());
        list->add(text.substr(start, comma - start));
        start = comma + 1;
    }
    return list;
}

void setField(Poco::JSON::Object &value, const EntityField &field, const std::string &text)
{
    switch (field.type) {
    case FieldType::Text:
        value.set(field.name, text);
        break;
    case FieldType::List:
        value.set(field.name, listOf(text));
        break;
    case FieldType::Flag:
        if (text != "true" && text != "false") {
            refuse(fmt::format("--{} is not true or false", field.flag));
        }
        value.set(field.name, text == "true");
        break;
    case FieldType::Number: {
        Poco::UInt64 number = 0;
        if (!Poco::NumberParser::tryParseUnsigned64(text, number)) {
            refuse(fmt::format("--{} is not a whole number", field.flag));
        }
        value.set(field.name, number);
        break;
    }
    }
}

std::string versionOf(const JsonObject &current, const ControlOptions &options)
{
    if (auto given = options.value("based-on")) {
        return escaped(*given);
    }
    return current.isNull() ? "0" : std::to_string(current->getValue<std::uint64_t>("version"));
}

ResultCode codeOfOutcome(const std::string &outcome)
{
    if (outcome == "accepted") {
        return ResultCode::Ok;
    }
    return outcome == "conflict" ? ResultCode::VersionConflict : ResultCode::InvalidValue;
}

}

Control::Control(AdminTransport &transport, const Clock &clock, std::function<void(Duration)> pause, std::ostream &output, std::ostream &progress)
    : client(transport), clock(clock), pause(std::move(pause)), output(output), progress(progress)
{
}

void Control::run(const ControlOptions &options)
{
    const auto &name = wordAt(options, 0, "the command");
    for (const auto &command : entityCommands()) {
        if (command.name == name) {
            this->runEntityCommand(command, options);
            return;
        }
    }
    if (name == "order") {
        this->order(options);
    } else if (name == "status") {
        this->status(options);
    } else if (name == "audit") {
        this->audit(options);
    } else if (name == "wait") {
        this->wait(wordAt(options, 1, "the record id"), options);
    } else {
        refuse(fmt::format("'{}' is not a command", name));
    }
}

void Control::runEntityCommand(const EntityCommand &command, const ControlOptions &options)
{
    const auto &action = wordAt(options, 1, "the action");
    const auto *setWord = command.kind == EntityKind::Drain ? "add" : "set";
    if (action == "list") {
        this->list(command, options);
    } else if (action == setWord) {
        this->set(command, options);
    } else if (action == "remove") {
        this->remove(command, options);
    } else if (action == "rotate-key" && command.kind == EntityKind::Team) {
        this->rotateKey(options);
    } else {
        refuse(fmt::format("'{} {}' is not a command", command.name, action));
    }
}

void Control::list(const EntityCommand &command, const ControlOptions &options)
{
    auto json = this->client.call("GET", command.collection);
    if (options.isJson) {
        this->print(json);
        return;
    }
    this->output << entityTable(json);
}

void Control::set(const EntityCommand &command, const ControlOptions &options)
{
    const auto &id = wordAt(options, 2, "the id");
    auto target = command.collection + "/" + escaped(id);
    auto current = this->client.find(target);
    auto hasValue = !current.isNull() && current->isObject("value");
    auto value = hasValue ? current->getObject("value") : newJsonObject();
    for (const auto &field : command.fields) {
        if (auto text = options.value(field.flag)) {
            setField(*value, field, *text);
        }
    }
    this->change("PUT", target + "?basedOn=" + versionOf(current, options), toText(value), options);
}

void Control::remove(const EntityCommand &command, const ControlOptions &options)
{
    auto target = command.collection + "/" + escaped(wordAt(options, 2, "the id"));
    auto current = this->client.call("GET", target);
    this->change("DELETE", target + "?basedOn=" + versionOf(current, options), "", options);
}

void Control::change(const std::string &method, const std::string &target, const std::string &body, const ControlOptions &options)
{
    auto json = this->client.call(method, target, body);
    auto recordId = json->getValue<std::string>("recordId");
    if (options.isJson) {
        this->print(json);
    } else {
        this->output << fmt::format("accepted as version {}, record {}\n", json->getValue<std::uint64_t>("version"), recordId);
    }
    if (options.waits) {
        this->wait(recordId, options);
    }
}

void Control::rotateKey(const ControlOptions &options)
{
    auto body = newJsonObject();
    body->set("team", wordAt(options, 2, "the team"));
    body->set("revokeOthers", options.value("revoke-others").has_value());
    auto json = this->client.call("POST", "team-keys", toText(body));
    if (options.isJson) {
        this->print(json);
    } else {
        this->output << json->getValue<std::string>("key") << "\n";
        this->progress << "The key is shown only once.\n";
    }
    if (options.waits) {
        this->wait(json->getValue<std::string>("recordId"), options);
    }
}

void Control::order(const ControlOptions &options)
{
    JsonObject json;
    if (wordAt(options, 1, "the pool") == "list") {
        json = this->client.call("GET", "orders");
    } else {
        auto body = newJsonObject();
        body->set("pool", options.words[1]);
        body->set("kind", wordAt(options, 2, "the kind of order"));
        body->set("model", wordAt(options, 3, "the model"));
        json = this->client.call("POST", "orders", toText(body));
    }
    if (options.isJson) {
        this->print(json);
        return;
    }
    this->output << orderTable(json);
}

void Control::status(const ControlOptions &options)
{
    auto json = this->client.call("GET", "status");
    if (options.isJson) {
        this->print(json);
        return;
    }
    this->output << statusText(json);
}

void Control::audit(const ControlOptions &options)
{
    std::string target = "audit";
    auto separator = '?';
    for (const auto *parameter : { "entity", "limit" }) {
        if (auto value = options.value(parameter)) {
            target += fmt::format("{}{}={}", separator, parameter, escaped(*value));
            separator = '&';
        }
    }
    auto json = this->client.call("GET", target);
    if (options.isJson) {
        this->print(json);
        return;
    }
    this->output << auditTable(json);
}

void Control::wait(const std::string &recordId, const ControlOptions &options)
{
    auto deadline = this->clock.now() + seconds(options.waitSeconds);
    while (!this->isInForce(recordId, options)) {
        if (this->clock.now() >= deadline) {
            throw Error(ResultCode::DeadlineExceeded, RunState::Unknown, fmt::format("record {} is not in force everywhere: {}", recordId, this->lastProgress));
        }
        this->pause(pollInterval);
    }
}

bool Control::isInForce(const std::string &recordId, const ControlOptions &options)
{
    auto json = this->client.find("changes/" + escaped(recordId));
    auto text = json.isNull() ? std::string("the node has not read the record yet") : progressText(json);
    if (text != this->lastProgress) {
        this->progress << text << "\n";
        this->lastProgress = text;
    }
    if (json.isNull()) {
        return false;
    }
    auto code = codeOfOutcome(json->getValue<std::string>("outcome"));
    if (code != ResultCode::Ok) {
        throw Error(code, RunState::NotRun, fmt::format("record {} was not accepted", recordId));
    }
    auto everywhere = json->getObject("inForce")->getValue<bool>("everywhere");
    if (everywhere && options.isJson) {
        this->print(json);
    }
    return everywhere;
}

void Control::print(const JsonObject &json)
{
    this->output << toText(json) << "\n";
}

int exitCodeOf(ResultCode code)
{
    constexpr int codesPerClass = 100;
    return static_cast<int>(code) / codesPerClass;
}

int runControl(const std::vector<std::string> &arguments, const EnvironmentReader &environment, std::ostream &output, std::ostream &errors)
{
    try {
        auto options = parseControlOptions(arguments, environment);
        if (options.isHelp) {
            output << controlHelp();
            return 0;
        }
        if (options.isVersion) {
            output << "lovagewardctl " LOVAGEWARD_VERSION "\n";
            return 0;
        }
        if (options.admin.empty()) {
            refuse("the address is missing: give --admin or LOVAGEWARD_ADMIN");
        }
        SystemClock clock;
        HttpAdminTransport transport(clock, options.admin, options.key, requestTimeout);
        auto pause = [](Duration time) { std::this_thread::sleep_for(time); };
        Control(transport, clock, pause, output, errors).run(options);
        return 0;
    } catch (const Error &error) {
        errors << fmt::format("lovagewardctl: {} {}: {}\n", static_cast<int>(error.code()), resultName(error.code()), printable(error.what()));
        return exitCodeOf(error.code());
    } catch (const std::exception &error) {
        errors << fmt::format("lovagewardctl: {}\n", printable(error.what()));
        return exitCodeOf(ResultCode::Internal);
    }
}

}
