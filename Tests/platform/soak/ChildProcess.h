#pragma once

#include <functional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Lovageward::Soak {

/** Child process whose standard output is passed to a handler line by line. */
class ChildProcess
{
public:
    using LineHandler = std::function<void(const std::string &line)>;

    /** The handler is called on a thread of this object, once per line and without the line break. Throws std::runtime_error if the process can't be started.
     */
    ChildProcess(const std::vector<std::string> &command, LineHandler handler);
    /** Kills the process if it is still running. */
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends the signal unless waitForExit() has returned. */
    void signal(int number) const;

    /** Process id, to look the process up in /proc. Valid until waitForExit() has returned. */
    pid_t id() const
    {
        return this->processId;
    }

    /** Waits until the process has exited and its output has been read. */
    void waitForExit();

private:
    void readLines(int descriptor) const;

    LineHandler handler;
    pid_t processId = -1;
    bool hasExited = false;
    std::thread reader;
};

}
