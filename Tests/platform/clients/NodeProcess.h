#pragma once

#include "MeasuredProcess.h"

#include <memory>
#include <string>
#include <vector>

namespace Lovageward::Clients {

inline constexpr int nodeCallerPort = 8490;
inline constexpr int nodeAdministrationPort = 8491;

/** A `lovageward` node on a loopback address of its own, with a stand-in of a plain service, and a team that may call it. */
class NodeProcess
{
public:
    /** Starts the processes and configures the node. Throws std::runtime_error if a step fails. */
    explicit NodeProcess(const std::vector<std::string> &settings);
    /** Kills the processes. */
    ~NodeProcess();

    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    const std::string &ip() const
    {
        return this->nodeIp;
    }

    const MeasuredProcess &process() const
    {
        return *this->node;
    }

    /** Authorization field of the team's requests. */
    std::string authorization() const
    {
        return "Authorization: Bearer " + this->teamKey + "\r\n";
    }

    /** Calls the service as an ordinary caller, on new connections, until one is answered with 200 or `patience` has passed. */
    bool isOrdinaryRequestServed(std::chrono::milliseconds patience) const;

    /** Reads the status from the administration API as an operator, on new connections, until it is answered or `patience` has passed. */
    bool isOperatorAnswered(std::chrono::milliseconds patience) const;

private:
    /** Runs lovagewardctl and returns what it prints. Throws std::runtime_error if it fails. */
    std::string control(const std::vector<std::string> &arguments) const;
    void configure();

    std::string nodeIp;
    std::string hostsPath;
    std::string teamKey;
    std::unique_ptr<Soak::ChildProcess> service;
    std::unique_ptr<MeasuredProcess> node;
};

}
