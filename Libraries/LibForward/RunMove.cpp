#include <LibForward/RunMove.h>

#include <Poco/Exception.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr Duration connectLimit = milliseconds(300);

/** Longest time for both copies. A leaving engine is often gone two seconds after its notice. */
constexpr Duration moveLimit = seconds(3);

}

RunMove::RunMove(const Clock &clock, const ForwardProtocol &protocol, const RequestId &request, const std::string &sourceAddress, PlacedRun target)
    : clock(clock), protocol(protocol), request(request), sourceAddress(sourceAddress), destination(std::move(target)), endsAt(clock.now() + moveLimit)
{
    this->begin(false);
}

void RunMove::begin(bool isLast)
{
    this->call = std::make_unique<UpstreamCall>(this->clock, this->sourceAddress, "POST", this->clock.now() + connectLimit);
    this->call->send(this->protocol.encodeMove(this->request, this->destination.upstream.address, isLast), this->endsAt);
}

RunMove::Stage RunMove::step()
{
    if (!this->call) {
        return this->current;
    }
    auto state = this->call->advance();
    if (state == UpstreamCall::State::Complete) {
        this->finishCall();
    } else if (state == UpstreamCall::State::Broken) {
        this->failure = this->call->problem();
        this->call.reset();
        // A source that broke off in the last copy may still hold the stopped run, but nothing names it then.
        this->current = Stage::Failed;
    }
    return this->current;
}

void RunMove::finishCall()
{
    auto status = static_cast<int>(this->call->head().getStatus());
    auto answer = this->protocol.decodeMove(status, this->call->body());
    this->call.reset();
    if (!answer.handle.empty()) {
        this->handle = answer.handle;
    }
    if (answer.isDone && this->current == Stage::CopyingBulk) {
        this->current = Stage::CopyingRest;
        try {
            this->begin(true);
        } catch (const Poco::Exception &error) {
            this->failure = error.displayText();
            this->current = Stage::Failed;
        }
        return;
    }
    if (answer.isDone) {
        this->current = Stage::Done;
        return;
    }
    this->failure = fmt::format("the source answered {}", status);
    auto isStopped = this->current == Stage::CopyingRest && !this->handle.empty() && !answer.isUnknownRun && !answer.isBusy;
    this->current = isStopped ? Stage::StoppedAtSource : Stage::Failed;
}

int RunMove::descriptor() const
{
    return this->call ? this->call->descriptor() : -1;
}

void RunMove::abandon()
{
    this->call.reset();
    this->failure = "the move took too long";
    this->current = Stage::Failed;
}

RunMemory RunMove::memory() const
{
    return RunMemory { this->sourceAddress, this->handle };
}

}
