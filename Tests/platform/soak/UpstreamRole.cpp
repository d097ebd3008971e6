#include "UpstreamRole.h"
#include "RoleServer.h"

#include <platform/WireNames.h>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace Lovageward::Soak {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr auto processingTime = std::chrono::milliseconds(20);
constexpr auto memoryCopyTime = std::chrono::milliseconds(120);
constexpr auto eventInterval = std::chrono::milliseconds(25);
constexpr std::uint64_t minimumEvents = 10;
constexpr std::uint64_t eventCountRange = 50;
/** One in this number of requests is refused as if the upstream were full, so that each run contains refusals. */
constexpr std::size_t refusalInterval = 40;

/** Time after its start at which an upstream begins to state its rate limit, and for which it does. */
constexpr auto rateLimitDelay = std::chrono::milliseconds(1500);
constexpr auto rateLimitTime = std::chrono::seconds(12);

/** Value of the query parameter `bytes`, by which a request asks for a longer response body, or longer events; 0 without it. */
std::size_t paddingBytes(const HTTPServerRequest &request)
{
    static const std::string parameter = "?bytes=";
    auto begin = request.getURI().find(parameter);
    return begin == std::string::npos ? 0 : std::stoull(request.getURI().substr(begin + parameter.size()));
}

class UpstreamHandler final : public RoleHandler
{
public:
    UpstreamHandler(std::string id, double rateLimit) : id(std::move(id)), rateLimit(rateLimit), limitedFrom(Clock::now() + rateLimitDelay)
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        if (request.getURI() == "/-/kv-move") {
            this->copyRunMemory(request, response);
            return;
        }
        request.stream().ignore(std::numeric_limits<std::streamsize>::max());
        auto requestId = request.get(WireNames::requestId, "");
        response.set(WireNames::serverStamp, this->id);
        response.set(WireNames::requestId, requestId);
        this->stateRateLimit(response);
        auto isMisdirected = request.get(WireNames::expectedUpstream, "") != this->id;
        auto source = request.get(WireNames::kvCacheSource, "");
        auto handle = source.substr(source.find('/') + 1);
        auto isHandleUsed = !source.empty() && !this->claimHandle(handle);
        if (isMisdirected || isHandleUsed || std::hash<std::string>()(requestId + this->id) % refusalInterval == 0) {
            fmt::print("refused {}\n", requestId);
            std::fflush(stdout);
            response.set(WireNames::notRun, "1");
            response.setStatus(isMisdirected ? HTTPServerResponse::HTTP_MISDIRECTED_REQUEST : HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
            response.setContentLength(0);
            response.send();
            return;
        }
        // A run that continues from its copied memory keeps its id.
        auto run = source.empty() ? fmt::format("{}-{}", this->id, ++this->runs) : handle;
        fmt::print("{} {}\n", source.empty() ? "run" : "continued", requestId);
        std::fflush(stdout);
        std::this_thread::sleep_for(processingTime);
        if (request.getURI().starts_with("/plan") || request.getURI().starts_with("/draft")) {
            this->streamEvents(request, response, requestId, run);
            return;
        }
        auto body = "answer of " + requestId + std::string(paddingBytes(request), '.');
        response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        response.send() << body;
    }

private:
    using Clock = std::chrono::steady_clock;

    /** States the rate limit for some time, and prints the first statement and its end. */
    void stateRateLimit(HTTPServerResponse &response)
    {
        auto now = Clock::now();
        auto isLimited = this->rateLimit > 0 && now >= this->limitedFrom && now < this->limitedFrom + rateLimitTime;
        if (isLimited) {
            response.set(WireNames::rateLimit, fmt::format("{:.1f}", this->rateLimit));
        }
        if (this->hasStatedLimit.exchange(isLimited) != isLimited) {
            fmt::print("{}\n", isLimited ? fmt::format("limited {}", this->rateLimit) : "unlimited");
            std::fflush(stdout);
        }
    }

    /** Simulates copying the memory of a run to another upstream, which only needs the handle. The run itself continues. */
    void copyRunMemory(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        Poco::JSON::Parser parser;
        auto object = parser.parse(request.stream()).extract<Poco::JSON::Object::Ptr>();
        std::this_thread::sleep_for(memoryCopyTime);
        std::string body;
        {
            std::lock_guard<std::mutex> guard(this->mutex);
            auto found = this->streams.find(object->getValue<std::string>("id"));
            if (found == this->streams.end()) {
                response.setStatus(HTTPServerResponse::HTTP_NOT_FOUND);
            } else {
                body = fmt::format(R"({{"handle":"{}","createdRev":0}})", found->second);
            }
        }
        response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        response.send() << body;
    }

    /** Marks a handle as used. Returns false if it was used before. */
    bool claimHandle(const std::string &handle)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        return this->usedHandles.insert(handle).second;
    }

    void streamEvents(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &requestId, const std::string &run)
    {
        {
            std::lock_guard<std::mutex> guard(this->mutex);
            this->streams[requestId] = run;
        }
        response.setContentType("text/event-stream");
        response.setChunkedTransferEncoding(true);
        auto &output = response.send();
        auto count = minimumEvents + std::hash<std::string>()(requestId) % eventCountRange;
        auto last = request.get(WireNames::lastEventId, "");
        std::string padding(paddingBytes(request), '.');
        for (auto event = last.empty() ? 0 : std::stoull(last) + 1; event < count && output.good(); ++event) {
            output << fmt::format("id: {}\ndata: {} {}{}{}\n\n", event, requestId, run, padding, event + 1 == count ? " end" : "") << std::flush;
            std::this_thread::sleep_for(eventInterval);
        }
        std::lock_guard<std::mutex> guard(this->mutex);
        this->streams.erase(requestId);
    }

    std::string id;
    /** Requests per second; zero if the upstream never states a limit. */
    double rateLimit;
    Clock::time_point limitedFrom;
    std::atomic<bool> hasStatedLimit = false;
    std::atomic<std::uint64_t> runs = 0;
    std::mutex mutex;
    /** Runs of the active streams, by request id. */
    std::map<std::string, std::string> streams;
    std::set<std::string> usedHandles;
};

}

int runUpstreamRole(const std::string &id, double rateLimit)
{
    UpstreamHandler handler(id, rateLimit);
    return serveRole(handler);
}

}
