#include <LibForward/RunMigration.h>

#include <LibForward/ResponseInspector.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr Duration connectTimeout = milliseconds(300);

/** Time limit of a copy. A leaving engine often terminates two seconds after its notice; several copies from one engine together take a second or two. */
constexpr Duration copyTimeout = seconds(3);

}

RunMigration::RunMigration(const ForwardDependencies &dependencies, const RequestId &request, const UpstreamRecord &source, PlacedRun target)
    : dependencies(dependencies), request(request), source(source), destination(std::move(target)), transferDeadline(dependencies.clock.now() + copyTimeout)
{
    this->call = std::make_unique<UpstreamCall>(
        dependencies.clock, dependencies.memory, source.address, "POST", dependencies.clock.now() + connectTimeout, dependencies.responseLimits);
    this->call->send(dependencies.protocol.encodeMoveRequest(request, this->destination.upstream.address), {}, this->transferDeadline);
}

RunMigration::Stage RunMigration::advance()
{
    if (!this->call) {
        return this->currentStage;
    }
    auto state = this->call->advance();
    if (state == UpstreamCall::State::Complete) {
        this->handleResponse();
    } else if (state == UpstreamCall::State::Failed || this->call->isBodyBufferFull()) {
        ResponseInspector(this->dependencies).countExceededLimit(*this->call);
        this->failure = this->call->failureReason();
        this->call.reset();
        this->currentStage = Stage::Failed;
    }
    return this->currentStage;
}

void RunMigration::handleResponse()
{
    auto status = this->call->head().status;
    ResponseInspector(this->dependencies).inspect(this->request, this->source, *this->call);
    auto response = this->dependencies.protocol.decodeMoveResponse(status, this->call->body());
    this->call.reset();
    if (response.isComplete) {
        this->handle = response.handle;
        this->currentStage = Stage::Done;
        return;
    }
    this->failure = fmt::format("the source responded with status {}", status);
    this->currentStage = Stage::Failed;
}

int RunMigration::descriptor() const
{
    return this->call ? this->call->descriptor() : -1;
}

void RunMigration::abandon()
{
    this->call.reset();
    this->failure = "the migration timed out";
    this->currentStage = Stage::Failed;
}

KvCacheLocation RunMigration::copiedMemory() const
{
    return KvCacheLocation { this->source.address, this->handle };
}

}
