#pragma once

#include <LibCore/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Logger.h>
#include <LibCore/RandomSource.h>
#include <LibRelay/AnswerSink.h>
#include <LibRelay/DrainSignal.h>
#include <LibRelay/EngineClient.h>
#include <LibRelay/GenerationTarget.h>
#include <LibRelay/RelayCounters.h>
#include <LibRelay/RelayLimits.h>
#include <LibRelay/ResumeToken.h>
#include <LibRelay/StreamHandover.h>
#include <LibRelay/Waiter.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lovageward {

/** Services and shared state that a relay uses. All references must outlive the relay. */
struct RelayDependencies
{
    const Clock &clock;
    RandomSource &random;
    LogSink &logSink;
    EngineClient &engines;
    Waiter &waiter;
    const DrainSignal &drain;
    const ResumeTokenCodec &tokens;
    RelayCounters &counters;
    StreamHandover &handover;
};

enum class FollowResult {
    /** The end marker arrived and the complete answer was delivered. */
    Completed,
    /** The generation was given up; failure() gives the reason. */
    Lost,
    CallerGone,
    /** The drain deadline passed; the generation continues on the engine. */
    DrainEnded,
};

/**
 * Reads the events of one generation to its end, replaces lost and silent connections, and delivers each token once and in order. Events that
 * repeat an offset are dropped; events of another request or generation and gaps in the offsets close the connection.
 */
class GenerationFollower
{
public:
    /** `sealedToken` is the resume token that the event ids contain; `from` is the first offset to deliver. */
    GenerationFollower(
        const RelayDependencies &dependencies, const RelayLimits &limits, AnswerSink &sink, GenerationTarget target, std::string sealedToken, TokenOffset from);

    /** Buffers the answer until it is complete instead of streaming it. */
    void holdAnswer()
    {
        this->isHeld = true;
    }

    /** Sets a callback that receives the number of tokens produced so far, every few tokens and at the end. */
    void setProgressCallback(std::function<void(TokenCount)> callback)
    {
        this->progressCallback = std::move(callback);
    }

    /**
     * Sets a callback that receives the bytes of each event and returns the time before which the next event must not be read.
     * For streams that cross the link between regions.
     */
    void setLinkMeter(std::function<TimePoint(ByteCount)> callback)
    {
        this->linkMeter = std::move(callback);
    }

    /** Follows the generation. `opened` is a connection to it; if null, the follower opens one itself. */
    FollowResult follow(std::unique_ptr<EngineStream> opened);

    /** The most recent failure of a connection or of the generation. */
    const std::optional<Error> &failure() const
    {
        return this->lastFailure;
    }

    /** True if a token was sent to the caller. */
    bool hasDelivered() const
    {
        return this->deliveredCount > 0;
    }

    /** True if the engine sent a valid event. */
    bool hasReceived() const
    {
        return this->receivedCount > 0;
    }

    /** Id of the last event that was sent to the caller. */
    std::string lastEventId() const;

    const GenerationTarget &generationTarget() const
    {
        return this->target;
    }

private:
    /** Reads and handles one event. Returns a result if following ends. */
    std::optional<FollowResult> readNextEvent();

    /** Returns a result if the drain deadline has passed or the caller has disconnected. */
    std::optional<FollowResult> checkInterruption();

    /** Validates and handles an event. Returns a result if following ends. Throws Error if the connection must be closed. */
    std::optional<FollowResult> accept(const EngineEvent &event);
    std::optional<FollowResult> acceptToken(const EngineEvent &event);
    std::optional<FollowResult> acceptEnd(const EngineEvent &event);
    void verify(const EngineEvent &event);
    bool deliver(const EngineEvent &event);
    void reportProgress();
    /** Reports the event's bytes to the link meter and waits until the next event may be read. */
    void waitForLinkBudget(const EngineEvent &event);

    /** Tries to open a new connection. Returns a result if following ends. */
    std::optional<FollowResult> reconnect();
    std::optional<FollowResult> openConnection();
    void recordFailure(const Error &error);
    unsigned maximumFruitlessResumes() const;
    /** True if no token has arrived, so that a restart on another engine repeats no work. */
    bool awaitsFirstToken() const;

    RelayDependencies dependencies;
    RelayLimits limits;
    AnswerSink &sink;
    GenerationTarget target;
    std::string sealedToken;
    std::uint64_t nextOffset;
    bool startsAtBeginning;
    bool isHeld = false;
    std::function<void(TokenCount)> progressCallback;
    std::function<TimePoint(ByteCount)> linkMeter;
    Backoff backoff;
    Logger logger;
    std::unique_ptr<EngineStream> stream;
    TimePoint firstTokenDeadline;
    TimePoint eventDeadline;
    TimePoint nextCheck;
    unsigned fruitlessResumes = 0;
    std::uint64_t receivedCount = 0;
    std::uint64_t deliveredCount = 0;
    std::vector<EngineEvent> held;
    std::size_t heldBytes = 0;
    std::optional<Error> lastFailure;
};

}
