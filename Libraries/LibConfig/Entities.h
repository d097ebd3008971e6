#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lovageward {

/** A team: who may call, and how much. Entity key `team/<id>`. */
struct Team
{
    TeamId id;
    /** Lower-case hexadecimal SHA-256 of each valid bearer key. */
    std::vector<std::string> keyHashes;
    /** Requests that may be queued or running at once over one node. */
    std::uint32_t maximumConcurrent = 64;
    /** Relative share of capacity under contention; 1 is the default. */
    std::uint32_t share = 1;
};

enum class CallKind {
    Generation,
    Service,
};

/** What a caller gets when a generation is lost after its first token. */
enum class DeliveryMode {
    /** Tokens are passed on as they come; a loss ends the stream with a typed `incomplete` event. */
    Stream,
    /** The answer is buffered until complete, so a restart stays invisible. */
    Hold,
};

/** What the target of a class protects first. */
enum class TargetKind {
    /** The whole answer within `targetTime`. */
    Completion,
    /** The time to the first token within `targetTime`. */
    FirstToken,
    /** The gap between tokens within `targetTime`. */
    TokenGap,
};

/** A class of work. Entity key `class/<id>`. */
struct WorkClass
{
    WorkClassId id;
    CallKind kind = CallKind::Generation;
    /** Model for generations; empty for services. */
    ModelId model;
    /** Pool and operation for services; empty for generations. */
    PoolId pool;
    std::string operation;
    TargetKind target = TargetKind::Completion;
    Duration targetTime = seconds(30);
    bool isRepeatable = true;
    DeliveryMode delivery = DeliveryMode::Stream;
    /** If true, work of this class never crosses to another region. */
    bool isOwnRegionOnly = false;
};

/** A model that pools serve. Entity key `model/<id>`. */
struct Model
{
    ModelId id;
    std::string version;
    std::vector<std::string> adapters;
};

/** How the engines of a pool treat fencing numbers. */
enum class FencingSupport {
    Honours,
    Ignores,
    Unchecked,
};

/** A pool of upstreams as the platform names it. Entity key `pool/<id>`. */
struct Pool
{
    PoolId id;
    /** Models that the engines of the pool serve; empty for plain services. */
    std::vector<ModelId> models;
    FencingSupport fencing = FencingSupport::Unchecked;
    /** Share of warm upstreams, in percent, that orders must leave in service. */
    std::uint32_t minimumWarmPercent = 70;
};

/** A failure domain that operators have taken out. Entity key `drain/<failure domain>`; deleting it brings the domain back. */
struct Drain
{
    FailureDomainId failureDomain;
    std::string reason;
};

}
