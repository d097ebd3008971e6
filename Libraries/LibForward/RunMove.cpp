#include <LibForward/RunMove.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr Duration connectLimit = milliseconds(300);

/** Longest time for a copy. A leaving engine is often gone two seconds after its notice. */
constexpr Duration copyLimit = seconds(3);

}

RunMove::RunMove(const Clock &clock, const ForwardProtocol &protocol, const RequestId &request, const std::string &sourceAddress, PlacedRun target)
    : protocol(protocol), sourceAddress(sourceAddress), destination(std::move(target)), endsAt(clock.now() + copyLimit)
{
    this->call = std::make_unique<UpstreamCall>(clock, sourceAddress, "POST", clock.now() + connectLimit);
    this->call->send(protocol.encodeMove(request, this->destination.upstream.address), this->endsAt);
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
        this->current = Stage::Failed;
    }
    return this->current;
}

void RunMove::finishCall()
{
    auto status = static_cast<int>(this->call->head().getStatus());
    auto answer = this->protocol.decodeMove(status, this->call->body());
    this->call.reset();
    if (answer.isDone) {
        this->handle = answer.handle;
        this->current = Stage::Done;
        return;
    }
    this->failure = fmt::format("the source answered {}", status);
    this->current = Stage::Failed;
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
