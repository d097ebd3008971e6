#pragma once

#include "StandInUpstream.h"

#include <LibCore/Error.h>
#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>
#include <LibHttp/CallerServer.h>
#include <LibHttp/HttpEngineClient.h>
#include <LibHttp/HttpServiceClient.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <iterator>
#include <map>

namespace Lovageward {

class SilentLog final : public LogSink
{
public:
    void write(LogLevel /*level*/, const std::string & /*line*/) override
    {
    }
};

/** One team with the key "key", and a class of each kind. */
class FixedConfiguration final : public Configuration
{
public:
    FixedConfiguration()
    {
        this->add("story", CallKind::Generation);
        this->add("plan", CallKind::Generation).delivery = DeliveryMode::Hold;
        this->add("lookup", CallKind::Service).operation = "lookup";
        auto &booking = this->add("booking", CallKind::Service);
        booking.operation = "book";
        booking.isRepeatable = false;
    }

    Offset appliedOffset() const override
    {
        return Offset(1);
    }

    std::optional<Team> teamByKey(std::string_view bearerKey) const override
    {
        return bearerKey == "key" || bearerKey == "other" ? std::optional(Team { TeamId(std::string(bearerKey)), {}, 64, 1 }) : std::nullopt;
    }

    std::optional<Team> team(const TeamId &id) const override
    {
        return Team { id, {}, 64, 1 };
    }

    std::optional<WorkClass> workClass(const WorkClassId &id) const override
    {
        auto found = this->classes.find(id);
        return found == this->classes.end() ? std::nullopt : std::optional(found->second);
    }

    std::vector<WorkClass> workClasses() const override
    {
        std::vector<WorkClass> all;
        for (const auto &[id, workClass] : this->classes) {
            all.push_back(workClass);
        }
        return all;
    }

    std::vector<Model> models() const override
    {
        return {};
    }

    std::optional<Pool> pool(const PoolId & /*id*/) const override
    {
        return std::nullopt;
    }

    std::vector<Pool> pools() const override
    {
        return {};
    }

    bool isDrained(const FailureDomainId & /*failureDomain*/) const override
    {
        return false;
    }

private:
    WorkClass &add(const std::string &name, CallKind kind)
    {
        auto &workClass = this->classes[WorkClassId(name)];
        workClass.id = WorkClassId(name);
        workClass.kind = kind;
        workClass.model = ModelId("writer");
        return workClass;
    }

    std::map<WorkClassId, WorkClass> classes;
};

/** Places everything on one address. */
class OneAddressDispatcher final : public Dispatcher
{
public:
    explicit OneAddressDispatcher(std::string address) : address(std::move(address))
    {
    }

    Placement acquire(const WorkItem & /*item*/) override
    {
        if (this->isFull) {
            throw Error(ResultCode::QueueFull, RunState::NotRun, "the queue is full", milliseconds(1500));
        }
        ++this->acquired;
        return { PlacementId(1), UpstreamId("upstream"), this->address, false };
    }

    void reportProgress(PlacementId /*id*/, TokenCount /*produced*/) override
    {
    }

    void release(PlacementId /*id*/, PlacementOutcome outcome) override
    {
        this->lastOutcome = outcome;
        ++this->released;
    }

    std::atomic<bool> isFull = false;
    std::atomic<int> acquired = 0;
    std::atomic<int> released = 0;
    std::atomic<PlacementOutcome> lastOutcome = PlacementOutcome::Failed;

private:
    std::string address;
};

/** Remembers the answer of each key, as claims do. */
class MemoryAtMostOnce final : public AtMostOnceCaller
{
public:
    RecordedAnswer run(const ClaimedCall &call, const std::function<RecordedAnswer()> &execute) override
    {
        if (call.idempotencyKey.empty()) {
            throw Error(ResultCode::IdempotencyKeyMissing, RunState::NotRun, "the call needs an Idempotency-Key");
        }
        auto found = this->answers.find(call.idempotencyKey);
        if (found == this->answers.end()) {
            return this->answers[call.idempotencyKey] = execute();
        }
        auto answer = found->second;
        answer.isReplay = true;
        return answer;
    }

private:
    std::map<std::string, RecordedAnswer> answers;
};

class SwitchedReadiness final : public Readiness
{
public:
    ReadinessReport report() const override
    {
        return this->isReady ? ReadinessReport() : ReadinessReport { false, ResultCode::NodeIsolated, "no log and no peer" };
    }

    std::atomic<bool> isReady = true;
};

/** Counts the streams that callers left. */
class CountingHandover final : public StreamHandover
{
public:
    HostId ownerHost() const override
    {
        return HostId("node");
    }

    void abandon(const GenerationTarget & /*target*/) override
    {
        ++this->abandoned;
    }

    void takeOver(const HostId & /*ownerHost*/, const GenerationId & /*generation*/) override
    {
        ++this->takenOver;
    }

    std::atomic<int> abandoned = 0;
    std::atomic<int> takenOver = 0;
};

struct Reply
{
    int status = 0;
    std::string body;
    Poco::Net::HTTPResponse head;
};

/** A node's request path in front of a stand-in upstream. */
struct ServerFixture
{
    /** The server uses `serverClock` if there is one. */
    explicit ServerFixture(const std::string &upstreamAddress, const Clock *serverClock = nullptr) : serverClock(serverClock), dispatcher(upstreamAddress)
    {
        this->settings.resumeKey = "0123456789abcdef";
        this->settings.maximumThreads = 16;
        this->settings.maximumBodyBytes = 4096;
    }

    void start()
    {
        CallerServerParts parts { this->serverClock != nullptr ? *this->serverClock : this->clock,
                                  random,
                                  log,
                                  counters,
                                  configuration,
                                  dispatcher,
                                  engines,
                                  services,
                                  atMostOnce,
                                  readiness,
                                  handover,
                                  memory };
        this->server = std::make_unique<CallerServer>(parts, this->settings);
        this->server->start();
    }

    std::unique_ptr<Poco::Net::HTTPClientSession> session() const
    {
        return std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", this->server->port());
    }

    Reply send(const std::string &method, const std::string &path, const std::string &body = {}, const std::map<std::string, std::string> &fields = {})
    {
        auto connection = this->session();
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.set("Authorization", "Bearer key");
        for (const auto &[name, value] : fields) {
            request.set(name, value);
        }
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        connection->sendRequest(request) << body;
        Reply reply;
        auto &stream = connection->receiveResponse(reply.head);
        reply.status = reply.head.getStatus();
        reply.body.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
        return reply;
    }

    const Clock *serverClock;
    SystemClock clock;
    SeededRandom random { 7 };
    SilentLog log;
    Counters counters;
    FixedConfiguration configuration;
    OneAddressDispatcher dispatcher;
    HttpEngineClient engines { clock, counters };
    HttpServiceClient services { clock, counters };
    MemoryAtMostOnce atMostOnce;
    SwitchedReadiness readiness;
    CountingHandover handover;
    MemoryAccount memory { clock, MemoryLimits { 100'000'000 } };
    CallerServerSettings settings;
    std::unique_ptr<CallerServer> server;
};

}
