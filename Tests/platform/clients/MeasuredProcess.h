#pragma once

#include "../soak/ChildProcess.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Lovageward::Clients {

/** A process of the system on a loopback address of its own, whose memory is sampled for as long as it runs. */
class MeasuredProcess
{
public:
    /** Starts the command. `ip` is the address on which the process listens. Throws std::runtime_error if it can't be started. */
    MeasuredProcess(const std::vector<std::string> &command, std::string ip);
    /** Kills the process. */
    ~MeasuredProcess();

    MeasuredProcess(const MeasuredProcess &) = delete;
    MeasuredProcess &operator=(const MeasuredProcess &) = delete;

    /** False after the process has ended for any reason. */
    bool isAlive() const;

    /** Largest resident memory of the process so far, in bytes (VmHWM). */
    std::size_t peakResidentBytes() const;

    /** Largest sum so far of resident memory and of bytes that have arrived at the process's TCP sockets and weren't read, in bytes. */
    std::size_t peakMemoryBytes() const
    {
        return this->peakMemory;
    }

    /** Largest number of bytes so far that had arrived and weren't read. */
    std::size_t peakUnreadBytes() const
    {
        return this->peakUnread;
    }

    /** Open file descriptors of the process. */
    std::size_t openDescriptors() const;

    /** Bytes that the process has written to its standard output. */
    std::size_t outputBytes() const
    {
        return this->output;
    }

    /** Sends SIGTERM and returns true if the process exits within `patience`. */
    bool stop(std::chrono::milliseconds patience);

private:
    std::size_t statusBytes(const std::string &field) const;
    /** Inodes of the process's open sockets. */
    std::set<std::string> socketInodes() const;
    std::size_t unreadBytes() const;
    void sample();

    std::string ip;
    std::atomic<std::size_t> output = 0;
    Soak::ChildProcess process;
    std::atomic<std::size_t> peakMemory = 0;
    std::atomic<std::size_t> peakUnread = 0;
    std::atomic<bool> isStopping = false;
    std::thread sampler;
};

}
