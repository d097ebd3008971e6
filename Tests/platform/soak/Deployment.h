#pragma once

#include "ChildProcess.h"
#include "FaultPlan.h"
#include "InvariantChecker.h"
#include "LinkProxy.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Lovageward::Soak {

struct DeploymentSettings
{
    /** Path of the lovageward program. */
    std::string program;
    /** Path of this program, which also runs the stand-ins. */
    std::string soakProgram;
    /** Directory for the logs and settings of the nodes. */
    std::string logs;
    /** Selects the loopback addresses of the nodes, so that deployments on one machine don't collide. */
    std::uint32_t networkNumber = 0;
    std::size_t nodes = 3;
    std::size_t upstreams = 4;
};

/** The processes of one run: a store, upstreams and nodes, with proxies on the links between them. Thread-safe. */
class Deployment
{
public:
    Deployment(const Clock &clock, InvariantChecker &checker, DeploymentSettings settings);
    ~Deployment();

    /** Address of each node for callers, as "IP:port". */
    std::vector<std::string> nodeAddresses() const;

    /** Starts all processes and waits until every node is ready. Throws std::runtime_error if a node doesn't become ready in time. */
    void start();

    /** Injects a fault, waits for its length and removes it. A fault of a process that is still affected by another one is skipped. */
    void injectFault(const Fault &fault);

    static const std::string &host();
    static const std::string &apiKey();

private:
    struct Node
    {
        std::string ip;
        std::unique_ptr<LinkProxy> callerLink;
        std::unique_ptr<ChildProcess> process;
        /** Number of processes that this node has had, counting the current one. */
        int incarnation = 0;
        std::unique_ptr<std::mutex> faultMutex = std::make_unique<std::mutex>();
    };
    struct Upstream
    {
        std::string id;
        std::string domain;
        std::string pool;
        /** Requests per second that the upstream accepts for some time; zero if it never states a limit. */
        double rateLimit = 0;
        std::unique_ptr<LinkProxy> link;
        std::unique_ptr<ChildProcess> process;
        int incarnation = 0;
        std::unique_ptr<std::mutex> faultMutex = std::make_unique<std::mutex>();
    };

    /** Starts a stand-in and stores the port that it prints in `port`. */
    std::unique_ptr<ChildProcess> startStandIn(const std::vector<std::string> &arguments, const std::string &upstream, int &port);
    void startNode(Node &node);
    void startUpstream(Upstream &upstream);
    void handleNodeOutput(Node &node, int incarnation, const std::string &line);
    void writeSettings(const Node &node, int graceSeconds) const;
    /** Appends a record to a topic of the store; an empty value removes the key. Retries until the store responds. */
    void appendRecord(const std::string &topic, const std::string &key, const std::string &value);
    /** Sends a request to the store, without the nodes' proxy. Retries until the store responds. */
    void callStore(const std::string &target, const std::string &body);
    /** Restores the store from a copy of this age; then operators and upstreams write their newest records again. */
    void restoreStore(Duration age);
    void publishUpstream(const Upstream &upstream, bool isDraining);
    void publishConfig();
    void drainAndReplaceUpstream(Upstream &upstream, Duration length);
    void restartNode(Node &node);
    void injectLinkFault(const Fault &fault, Duration length);
    void pauseProcess(ChildProcess &process, Duration length);
    void sleep(Duration length);
    bool isReady(const Node &node) const;
    std::string addressOfControl(const Node &node) const;

    const Clock &clock;
    InvariantChecker &checker;
    DeploymentSettings settings;
    std::mutex logMutex;
    std::ofstream nodeLog;
    std::string storeAddress;
    std::unique_ptr<LinkProxy> storeLink;
    std::unique_ptr<ChildProcess> store;
    std::vector<Node> nodes;
    std::vector<Upstream> upstreams;
    std::atomic<std::uint64_t> configVersion = 0;
    std::mutex storeMutex;
    std::mutex domainMutex;
    /** Held while a record is appended, so that a record that is written again doesn't replace a newer one. */
    std::mutex publishMutex;
    /** The newest value of each key that operators and upstreams have written, by topic and key. */
    std::map<std::pair<std::string, std::string>, std::string> publishedValues;
};

}
