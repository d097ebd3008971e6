#pragma once

#include "MeasuredProcess.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Lovageward::Clients {

/** Limits that a test lowers so that a small number of clients reaches them. */
struct GatewayLimits
{
    int memoryMegabytes = 0;
    int descriptors = 0;
};

inline constexpr int gatewayCallerPort = 8480;
inline constexpr int gatewayReadinessPort = 8481;
inline constexpr int gatewayControlPort = 7201;
inline constexpr int gatewayPeerPort = 7200;

/** A `lovageward gateway` on a loopback address of its own, with stand-ins of the store and of two upstreams, all as processes. */
class GatewayProcess
{
public:
    /** Starts the processes and waits until the gateway is ready. Throws std::runtime_error if it doesn't become ready. */
    explicit GatewayProcess(const GatewayLimits &limits);
    /** Kills the processes. */
    ~GatewayProcess() = default;

    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    const std::string &ip() const
    {
        return this->nodeIp;
    }

    MeasuredProcess &process()
    {
        return *this->gateway;
    }

    const MeasuredProcess &process() const
    {
        return *this->gateway;
    }

    /** See MeasuredProcess. */
    bool isAlive() const
    {
        return this->gateway->isAlive();
    }

    std::size_t peakResidentBytes() const
    {
        return this->gateway->peakResidentBytes();
    }

    std::size_t peakMemoryBytes() const
    {
        return this->gateway->peakMemoryBytes();
    }

    std::size_t openDescriptors() const
    {
        return this->gateway->openDescriptors();
    }

    /** Counters at the control address, for the report of a failed test. */
    std::string metrics() const;

private:
    std::unique_ptr<Soak::ChildProcess> startStandIn(const std::vector<std::string> &arguments, int &port) const;
    void publish(const std::string &topic, const std::string &key, const std::string &value) const;
    void writeSettings(const GatewayLimits &limits) const;
    void awaitReadiness() const;

    std::string nodeIp;
    std::string settingsPath;
    std::string storeAddress;
    // The gateway is declared last, so that it is killed before its store and upstreams.
    std::unique_ptr<Soak::ChildProcess> store;
    std::vector<std::unique_ptr<Soak::ChildProcess>> upstreams;
    std::unique_ptr<MeasuredProcess> gateway;
};

}
