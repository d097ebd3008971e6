#pragma once

#include "FleetProcess.h"

#include <LibCore/SystemClock.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lovageward::Fleet {

struct NodeProcess
{
    std::string name;
    std::string region;
    std::string failureDomain;
    std::uint16_t callerPort = 0;
    std::uint16_t administrationPort = 0;
    std::uint16_t peerPort = 0;
    std::unique_ptr<FleetProcess> process;
};

struct UpstreamProcess
{
    std::string name;
    std::string pool;
    std::string region;
    std::string failureDomain;
    std::unique_ptr<FleetProcess> process;
};

/** Small deployment on loopback: nodes as real processes, and stand-ins of the platform, engines and services. */
class Fleet
{
public:
    /** `buildFolder` contains the built programs; each node uses three consecutive ports, counted from `firstPort`. */
    Fleet(std::string buildFolder, std::uint16_t firstPort, std::size_t nodeCount);

    /** Starts the stand-ins and the nodes. */
    void start();

    /** Creates model, pools, classes and a team, and waits until every node is ready. */
    void configure();

    void startNode(std::size_t index);

    /** Sends a request to the administration API of a node. Returns the HTTP status, or 0 if the node is unreachable. */
    int sendAdminRequest(std::size_t node, const std::string &method, const std::string &path, const std::string &body, std::string &answer) const;

    /** Sends a GET request to a local port. Returns the body, which is empty if the port is unreachable. */
    std::string fetch(std::uint16_t port, const std::string &path) const;
    /** Sends a PUT request to a local port. Throws Poco::Exception if the port is unreachable. */
    void put(std::uint16_t port, const std::string &path, const std::string &body) const;

    /** Returns the sum of the metric series of a node whose names start with the prefix. */
    double fetchMetricSum(std::size_t node, const std::string &prefix) const;

    /** Fetches a flat JSON object from a stand-in and returns a number in it; 0 if it can't be read. */
    double fetchNumber(std::uint16_t port, const std::string &path, const std::string &field) const;

    bool isReady(std::size_t node) const;

    std::vector<NodeProcess> nodes;
    std::vector<UpstreamProcess> upstreams;
    std::unique_ptr<FleetProcess> platform;
    SystemClock clock;

private:
    std::string buildHostList() const;
    void waitUntilReady() const;

    std::string buildFolder;
};

/** API key of the benchmark's team. */
inline const std::string teamKey = "bench-team-key";

}
