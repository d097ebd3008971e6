#pragma once

#include "Fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Lovageward::Fleet {

/** Results of streamed generations as seen by their callers. */
struct GenerationCounts
{
    std::atomic<std::uint64_t> complete = 0;
    /** Complete responses for which the caller had to reconnect. */
    std::atomic<std::uint64_t> resumed = 0;
    /** Connections that the caller closed deliberately in the middle of a response. */
    std::atomic<std::uint64_t> disconnected = 0;
    std::atomic<std::uint64_t> refused = 0;
    /** Generations that ended with an `incomplete` event, or after too many reconnects. */
    std::atomic<std::uint64_t> incomplete = 0;
    /** Tokens that were repeated, out of order or from another generation; each is an error. */
    std::atomic<std::uint64_t> unexpectedTokens = 0;
};

enum class BookingState {
    Done,
    NotRun,
    Unknown,
};

/** Results of bookings as seen by their callers. */
struct BookingCounts
{
    std::atomic<std::uint64_t> done = 0;
    /** Responses "not run" to single attempts, which are retried with the same key. */
    std::atomic<std::uint64_t> notRunResponses = 0;
    /** Bookings whose last attempt was not run. */
    std::atomic<std::uint64_t> finallyNotRun = 0;
    std::atomic<std::uint64_t> unknown = 0;
};

/** Runs callers in threads. They take the nodes in turn, as the platform's load balancer would distribute their requests. */
class LoadGenerator
{
public:
    /** In one of `disconnectInterval` generations, the caller closes its connection once and resumes at another node; 0 for none. */
    LoadGenerator(
        const Fleet &fleet, std::size_t generationThreads, std::size_t bookingThreads, std::uint32_t tokensPerGeneration, std::uint64_t disconnectInterval);
    ~LoadGenerator();

    /** Waits for the running requests and joins the threads. */
    void stop();

    /** Compares the results of the bookings with the executions at the services. Returns the number of bookings for which they disagree. */
    std::uint64_t countInconsistentBookings() const;

    /** Numbers of refused requests for generations, by result code. */
    std::map<std::string, std::uint64_t> refusalsByCode() const;

    GenerationCounts generations;
    BookingCounts bookings;

private:
    /** State of one streamed response across its connections. */
    struct StreamState
    {
        std::uint32_t received = 0;
        std::string generation;
        std::string lastEventId;
        /** Number of received tokens after which the caller closes the connection; 0 for never. */
        std::uint32_t disconnectAfter = 0;
        bool isComplete = false;
        bool isRefused = false;
        bool isIncomplete = false;
    };

    void runGenerations(std::size_t seed);
    void runBookings(std::size_t seed);
    void runGeneration(std::size_t &node);
    void readStream(std::size_t node, StreamState &state);
    void recordRefusal(const std::string &answer);
    void processLine(const std::string &line, StreamState &state);
    void runBooking(std::size_t &node, const std::string &body);
    BookingState sendBooking(std::size_t node, const std::string &body, const std::string &key);
    std::size_t selectNextNode(std::size_t node) const;

    const Fleet &fleet;
    std::uint32_t tokensPerGeneration;
    std::uint64_t disconnectInterval;
    std::atomic<bool> isStopping = false;
    std::atomic<std::uint64_t> lastBooking = 0;
    std::atomic<std::uint64_t> lastGeneration = 0;
    mutable std::mutex mutex;
    std::unordered_map<std::string, BookingState> stateByBooking;
    std::map<std::string, std::uint64_t> refusalCounts;
    std::vector<std::thread> threads;
};

}
