#pragma once

#include <Poco/Process.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Lovageward::Fleet {

/** CPU time and resident memory of a process as reported by the kernel. */
struct ProcessUsage
{
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

/** Child process of the benchmark; the destructor kills it if it is still running. */
class FleetProcess
{
public:
    /** If `announcesPort` is set, waits until the program has printed its port. Throws std::runtime_error if it prints none. */
    FleetProcess(const std::string &program, const std::vector<std::string> &arguments, bool announcesPort);
    ~FleetProcess();

    FleetProcess(const FleetProcess &) = delete;
    FleetProcess &operator=(const FleetProcess &) = delete;

    std::uint16_t port() const
    {
        return this->announcedPort;
    }

    ProcessUsage readUsage() const;

    /** Kills the process with SIGKILL and waits for its end. */
    void kill();

    /** Requests a graceful shutdown with SIGTERM and waits for the end. Returns the exit code. */
    int terminate();

private:
    std::unique_ptr<Poco::ProcessHandle> handle;
    std::uint16_t announcedPort = 0;
};

}
