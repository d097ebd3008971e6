#include <LibConfig/ConfigPullHandler.h>

#include <LibCore/Error.h>

namespace Lovageward {

namespace {

// A message between nodes holds 64 KiB; the rest is for the encoding of offsets and times.
constexpr std::size_t maximumAnswerBytes = std::size_t(40) * 1024;

}

std::string ConfigPullHandler::handle(const PeerMessage &message)
{
    return encodePullAnswer(this->answerTo(decodePullRequest(message.payload)));
}

ConfigPullAnswer ConfigPullHandler::answerTo(const ConfigPullRequest &request)
{
    ConfigPullAnswer answer;
    answer.applied = this->store.appliedOffset();
    if (request.from > Offset(0)) {
        if (auto records = this->store.recordsFrom(request.from, maximumAnswerBytes)) {
            answer.records = std::move(*records);
            return answer;
        }
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    this->addStatePart(answer, request);
    return answer;
}

void ConfigPullHandler::addStatePart(ConfigPullAnswer &answer, const ConfigPullRequest &request)
{
    auto isContinued = request.stateAsOf == this->stateAsOf && request.stateAsOf > Offset(0) && request.part > 0;
    if (!isContinued) {
        this->refreshState();
    }
    auto partCount = (this->stateBytes.size() + maximumAnswerBytes - 1) / maximumAnswerBytes;
    auto part = isContinued && request.part < partCount ? request.part : 0;
    answer.stateAsOf = this->stateAsOf;
    answer.part = part;
    answer.partCount = static_cast<std::uint32_t>(partCount);
    answer.bytes = this->stateBytes.substr(part * maximumAnswerBytes, maximumAnswerBytes);
}

void ConfigPullHandler::refreshState()
{
    auto checkpoint = this->store.checkpoint();
    if (!checkpoint) {
        throw Error(ResultCode::NodeStarting, RunState::NotRun, "this node has no complete configuration");
    }
    if (checkpoint->asOf == this->stateAsOf) {
        return;
    }
    this->stateAsOf = checkpoint->asOf;
    this->stateBytes = encodeRecord(*checkpoint);
}

}
