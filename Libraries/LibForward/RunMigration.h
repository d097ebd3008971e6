#pragma once

#include <LibForward/ForwardDependencies.h>
#include <LibForward/UpstreamCall.h>

#include <memory>

namespace Lovageward {

/**
 * Copies the memory of a run to another engine while the run continues at its source. The run can then be continued from the copy; the target
 * engine recomputes the few tokens that the copy lacks. Never blocks: the relay calls advance() when the descriptor is readable.
 */
class RunMigration
{
public:
    enum class Stage {
        Copying,
        /** The copy is complete, except for the tokens produced since it was made. */
        Done,
        /** No copy was made. */
        Failed,
    };

    /** `target` holds the capacity reserved for the run. Throws Poco::Exception if the connection to the source fails. */
    RunMigration(const ForwardDependencies &dependencies, const RequestId &request, const UpstreamRecord &source, PlacedRun target);

    Stage advance();

    Stage stage() const
    {
        return this->currentStage;
    }

    /** Descriptor to poll for readability; -1 if the copy has ended. */
    int descriptor() const;

    /** Time at which the relay calls abandon() if the copy is still running. */
    TimePoint deadline() const
    {
        return this->transferDeadline;
    }

    /** Cancels the copy because its deadline has passed. */
    void abandon();

    /** Location of the copy; valid in stage Done. */
    KvCacheLocation copiedMemory() const;

    PlacedRun &target()
    {
        return this->destination;
    }

    /** Why the copy failed; empty otherwise. */
    const std::string &failureReason() const
    {
        return this->failure;
    }

private:
    void handleResponse();

    const ForwardDependencies &dependencies;
    RequestId request;
    UpstreamRecord source;
    PlacedRun destination;
    std::unique_ptr<UpstreamCall> call;
    std::string handle;
    std::string failure;
    TimePoint transferDeadline;
    Stage currentStage = Stage::Copying;
};

}
