#include "LoadGenerator.h"

#include <LibCore/SystemRandom.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <fmt/format.h>

#include <sstream>

namespace Lovageward::Fleet {

namespace {

constexpr int maximumReconnects = 40;
constexpr int maximumBookingAttempts = 60;
constexpr auto retryInterval = milliseconds(250);
const Poco::Timespan callerTimeout(15, 0);

/** Returns the text between two markers of a line; empty if the first one is absent. */
std::string extractBetween(const std::string &line, const std::string &before, const std::string &after)
{
    auto start = line.find(before);
    if (start == std::string::npos) {
        return {};
    }
    start += before.size();
    auto end = line.find(after, start);
    return line.substr(start, end == std::string::npos ? end : end - start);
}

}

LoadGenerator::LoadGenerator(
    const Fleet &fleet, std::size_t generationThreads, std::size_t bookingThreads, std::uint32_t tokensPerGeneration, std::uint64_t disconnectInterval)
    : fleet(fleet), tokensPerGeneration(tokensPerGeneration), disconnectInterval(disconnectInterval)
{
    for (std::size_t index = 0; index < generationThreads; ++index) {
        this->threads.emplace_back([this, index] { this->runGenerations(index); });
    }
    for (std::size_t index = 0; index < bookingThreads; ++index) {
        this->threads.emplace_back([this, index] { this->runBookings(index); });
    }
}

LoadGenerator::~LoadGenerator()
{
    this->stop();
}

void LoadGenerator::stop()
{
    this->isStopping = true;
    for (auto &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

void LoadGenerator::runGenerations(std::size_t seed)
{
    auto node = seed % this->fleet.nodes.size();
    while (!this->isStopping) {
        this->runGeneration(node);
    }
}

void LoadGenerator::runGeneration(std::size_t &node)
{
    StreamState state;
    auto number = ++this->lastGeneration;
    auto isDisconnected = this->disconnectInterval > 0 && number % this->disconnectInterval == 0;
    state.disconnectAfter = isDisconnected ? this->tokensPerGeneration / 3 : 0;
    int connections = 0;
    while (!state.isComplete && !state.isRefused && !state.isIncomplete && connections <= maximumReconnects) {
        node = this->selectNextNode(node);
        ++connections;
        this->readStream(node, state);
        if (!state.isComplete) {
            std::this_thread::sleep_for(retryInterval);
        }
    }
    if (state.isComplete && state.received == this->tokensPerGeneration) {
        ++this->generations.complete;
        this->generations.resumed += connections > 1 ? 1 : 0;
    } else if (state.isRefused) {
        ++this->generations.refused;
    } else {
        ++this->generations.incomplete;
    }
}

void LoadGenerator::readStream(std::size_t node, StreamState &state)
{
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", this->fleet.nodes.at(node).callerPort);
        session.setTimeout(callerTimeout);
        Poco::Net::HTTPRequest request("POST", "/v1/completions", Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + teamKey);
        request.set("X-Work-Class", "story");
        if (!state.lastEventId.empty()) {
            request.set("Last-Event-ID", state.lastEventId);
        }
        auto body = fmt::format(R"({{"model":"kare-13b","stream":true,"prompt":"tokens={}"}})", this->tokensPerGeneration);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            // A refused resumption is retried at the next node; a refused start ends the generation.
            std::string answer;
            Poco::StreamCopier::copyToString(stream, answer);
            this->recordRefusal(answer);
            state.isRefused = state.lastEventId.empty();
            return;
        }
        std::string line;
        while (!state.isComplete && std::getline(stream, line)) {
            this->processLine(line, state);
            if (state.disconnectAfter > 0 && state.received >= state.disconnectAfter) {
                state.disconnectAfter = 0;
                ++this->generations.disconnected;
                return;
            }
        }
    } catch (const Poco::Exception &) {
        // The connection to the node was lost; the next one resumes the stream.
    }
}

void LoadGenerator::recordRefusal(const std::string &answer)
{
    auto name = extractBetween(answer, R"("name":")", R"(")");
    std::lock_guard<std::mutex> guard(this->mutex);
    ++this->refusalCounts[name.empty() ? "unnamed" : name];
}

std::map<std::string, std::uint64_t> LoadGenerator::refusalsByCode() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->refusalCounts;
}

void LoadGenerator::processLine(const std::string &line, StreamState &state)
{
    if (line.rfind("id: ", 0) == 0) {
        state.lastEventId = line.substr(4);
        return;
    }
    if (line.rfind("event: incomplete", 0) == 0) {
        state.isIncomplete = true;
        return;
    }
    if (line.rfind("data: [DONE]", 0) == 0) {
        state.isComplete = true;
        return;
    }
    auto text = extractBetween(line, R"("text":")", R"(")");
    if (text.empty()) {
        return;
    }
    auto generation = extractBetween(line, R"("generation_id":")", R"(")");
    auto isSameGeneration = state.generation.empty() || state.generation == generation;
    if (text != fmt::format("t{} ", state.received) || !isSameGeneration) {
        ++this->generations.unexpectedTokens;
    }
    state.generation = generation;
    ++state.received;
}

void LoadGenerator::runBookings(std::size_t seed)
{
    auto node = seed % this->fleet.nodes.size();
    while (!this->isStopping) {
        auto body = fmt::format(R"({{"booking":{}}})", ++this->lastBooking);
        this->runBooking(node, body);
    }
}

void LoadGenerator::runBooking(std::size_t &node, const std::string &body)
{
    SystemRandom random;
    auto issuedAt = std::chrono::duration_cast<seconds>(this->fleet.clock.wallNow().time_since_epoch()).count();
    auto key = fmt::format("{}-{}", issuedAt, random.hexId());
    auto state = BookingState::Unknown;
    for (int attempt = 0; attempt < maximumBookingAttempts && state != BookingState::Done; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(retryInterval);
        }
        node = this->selectNextNode(node);
        auto answer = this->sendBooking(node, body, key);
        this->bookings.notRunResponses += answer == BookingState::NotRun ? 1 : 0;
        // Once an attempt may have run, a later "not run" response only covers the later attempt.
        auto mayHaveRun = attempt > 0 && state == BookingState::Unknown;
        state = mayHaveRun && answer == BookingState::NotRun ? BookingState::Unknown : answer;
        if (this->isStopping && state == BookingState::NotRun) {
            break;
        }
    }
    this->bookings.done += state == BookingState::Done ? 1 : 0;
    this->bookings.finallyNotRun += state == BookingState::NotRun ? 1 : 0;
    this->bookings.unknown += state == BookingState::Unknown ? 1 : 0;
    std::lock_guard<std::mutex> guard(this->mutex);
    this->stateByBooking[body] = state;
}

BookingState LoadGenerator::sendBooking(std::size_t node, const std::string &body, const std::string &key)
{
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", this->fleet.nodes.at(node).callerPort);
        session.setTimeout(callerTimeout);
        Poco::Net::HTTPRequest request("POST", "/v1/services/deposit", Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + teamKey);
        request.set("Idempotency-Key", key);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        std::string answer;
        Poco::StreamCopier::copyToString(stream, answer);
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
            return BookingState::Done;
        }
        auto isNotRun = answer.find("not_run") != std::string::npos;
        return isNotRun ? BookingState::NotRun : BookingState::Unknown;
    } catch (const Poco::Exception &) {
        return BookingState::Unknown;
    }
}

std::size_t LoadGenerator::selectNextNode(std::size_t node) const
{
    return (node + 1) % this->fleet.nodes.size();
}

std::uint64_t LoadGenerator::countInconsistentBookings() const
{
    std::unordered_map<std::string, int> executions;
    for (const auto &upstream : this->fleet.upstreams) {
        if (upstream.pool != "randevu-app") {
            continue;
        }
        std::istringstream lines(this->fleet.fetch(upstream.process->port(), "/executions/all"));
        int count = 0;
        std::string body;
        while (lines >> count && std::getline(lines >> std::ws, body)) {
            executions[body] += count;
        }
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    std::uint64_t inconsistent = 0;
    for (const auto &[body, state] : this->stateByBooking) {
        auto runs = executions.contains(body) ? executions.at(body) : 0;
        auto isConsistent = runs <= 1 && (state != BookingState::NotRun || runs == 0) && (state != BookingState::Done || runs == 1);
        inconsistent += isConsistent ? 0 : 1;
    }
    return inconsistent;
}

}
