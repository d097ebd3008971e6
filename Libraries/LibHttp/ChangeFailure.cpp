#include <LibHttp/ChangeFailure.h>

namespace Lovageward {

namespace {

ResultCode codeOf(const ChangeDecision &decision)
{
    return decision.outcome == ChangeOutcome::Conflict ? ResultCode::VersionConflict : ResultCode::InvalidValue;
}

std::string messageOf(const ChangeDecision &decision)
{
    if (decision.outcome != ChangeOutcome::Conflict) {
        return decision.problem;
    }
    auto key = toText(decision.change.key);
    auto basedOn = decision.change.basedOn.value();
    if (decision.winnerVersion == Offset(0)) {
        return fmt::format("{} doesn't exist, but the change is based on version {}", key, basedOn);
    }
    return fmt::format("{} is at version {} by {}, but the change is based on version {}", key, decision.winnerVersion.value(), decision.winnerActor, basedOn);
}

}

ChangeFailure::ChangeFailure(const ChangeDecision &decision)
    : Error(codeOf(decision), RunState::NotRun, messageOf(decision)), recordId(decision.change.recordId)
{
    if (decision.outcome != ChangeOutcome::Conflict) {
        return;
    }
    this->winner = newJsonObject();
    this->winner->set("version", decision.winnerVersion.value());
    this->winner->set("recordId", decision.winnerRecord.value());
    this->winner->set("actor", decision.winnerActor);
}

ChangeFailure::ChangeFailure(const Error &error, const RecordId &recordId) : Error(error.code(), error.runState(), error.what()), recordId(recordId)
{
}

JsonObject ChangeFailure::toJson() const
{
    auto json = errorJson(this->code(), this->runState(), this->what());
    json->getObject("error")->set("record_id", this->recordId.value());
    if (!this->winner.isNull()) {
        json->set("winner", this->winner);
    }
    return json;
}

}
