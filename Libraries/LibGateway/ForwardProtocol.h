#pragma once

#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/UpstreamRecord.h>
#include <LibHttp1/MessageHead.h>

#include <optional>
#include <string>

namespace Lovageward {

/** Location of a copy of the KV cache of an interrupted run. */
struct KvCacheLocation
{
    /** "IP:port" of the engine that made or stores the copy, as it was used when the copy was created. */
    std::string address;
    std::string handle;
};

/** What the node adds to a request when it forwards it to an upstream. */
struct ForwardOptions
{
    UpstreamId upstream;
    TeamId team;
    /** Time until the deadline, after which the upstream stops the request. */
    Duration remainingTime = Duration(0);
    /** Priority from 0 (highest) to 9, by which engines admit and preempt runs. */
    std::optional<std::uint32_t> urgency;
    /** "IP:port" of the engine that stores a standby copy of the run's KV cache; empty if there is none. */
    std::string backupAddress;
    std::optional<KvCacheLocation> kvCache;
    std::optional<std::uint64_t> lastEventId;
};

/** Load that an upstream reports in a response. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /** How long work currently takes on the machine, in percent of the usual time; nullopt if it isn't reported. */
    std::optional<std::uint32_t> slowness = std::nullopt;
};

/** Metadata from the head of an upstream's response, apart from its status. */
struct ResponseMetadata
{
    /** Id of the request as the response repeats it; empty if the response has none. */
    RequestId requestId;
    /** The upstream states that the request has not been executed and won't be. */
    bool hasNotRun = false;
    /** The response has the stamp of the upstream's server. A success without it is not accepted. */
    bool hasServerStamp = false;
    /** The address belongs to another process than the expected one. */
    bool isInstanceMismatch = false;
    std::optional<ReportedLoad> load;
    /** The upstream is about to shut down and accepts no new requests. */
    bool isShuttingDown = false;
    /** Time for which this node must not send requests to the upstream, which has refused this one; zero if the response names no time. */
    Duration retryAfter = Duration(0);
    /** The response states a rate limit, which may be malformed. */
    bool hasRateLimit = false;
    /** Requests per second that the upstream accepts from all nodes together; nullopt if it states no limit or a malformed one. */
    std::optional<double> requestsPerSecond;
};

/** Response to a request that copies the KV cache of a run. */
struct MoveResponse
{
    /** The target has the complete copy. */
    bool isComplete = false;
    /** Identifies the copy. */
    std::string handle;
};

/** Encodes and decodes the messages between callers, the gateway and upstreams. Implementations are stateless and thread-safe. */
class ForwardProtocol
{
public:
    virtual ~ForwardProtocol() = default;

    /** Throws Error(BadRequest) for an invalid request head. `arrivedAt` and the request's deadline are times of the node's clock. */
    virtual ForwardedRequest decodeRequest(const RequestHead &head, TimePoint arrivedAt) const = 0;

    /**
     * The head of the request as it is sent to the upstream. The body follows it unchanged, so that a large one isn't copied. Throws Error(Internal) if an
     * option can't be the value of a header field.
     */
    virtual std::string encodeRequestHead(const ForwardedRequest &request, const ForwardOptions &options) const = 0;

    virtual ResponseMetadata decodeResponse(const ResponseHead &head) const = 0;

    /** The bytes of a request that copies the KV cache of a run to another engine while the run continues. */
    virtual std::string encodeMoveRequest(const RequestId &request, const std::string &targetAddress) const = 0;

    virtual MoveResponse decodeMoveResponse(int status, const std::string &body) const = 0;

    /** Name of the header field in which responses repeat the request's id. */
    virtual const std::string &requestIdField() const = 0;
};

}
