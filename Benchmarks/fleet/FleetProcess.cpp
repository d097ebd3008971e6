#include "FleetProcess.h"

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace Lovageward::Fleet {

FleetProcess::FleetProcess(const std::string &program, const std::vector<std::string> &arguments, bool announcesPort)
{
    if (!announcesPort) {
        this->handle = std::make_unique<Poco::ProcessHandle>(Poco::Process::launch(program, arguments));
        return;
    }
    Poco::Pipe output;
    this->handle = std::make_unique<Poco::ProcessHandle>(Poco::Process::launch(program, arguments, nullptr, &output, nullptr));
    Poco::PipeInputStream stream(output);
    if (!(stream >> this->announcedPort)) {
        throw std::runtime_error(program + " did not print its port");
    }
}

FleetProcess::~FleetProcess()
{
    this->kill();
}

ProcessUsage FleetProcess::readUsage() const
{
    ProcessUsage usage;
    if (!this->handle) {
        return usage;
    }
    std::ifstream file("/proc/" + std::to_string(this->handle->id()) + "/stat");
    std::string line;
    std::getline(file, line);
    auto end = line.rfind(')');
    if (end == std::string::npos) {
        return usage;
    }
    // Fields 14 and 15 are the user and system time, field 24 is the number of resident pages. The values begin at field 3, which follows the process name.
    std::istringstream fields(line.substr(end + 2));
    std::vector<std::string> values;
    std::string value;
    while (fields >> value) {
        values.push_back(value);
    }
    auto ticks = std::stod(values.at(11)) + std::stod(values.at(12));
    usage.cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.residentMegabytes = std::stod(values.at(21)) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    return usage;
}

void FleetProcess::kill()
{
    if (this->handle) {
        ::kill(this->handle->id(), SIGKILL);
        this->handle->wait();
        this->handle.reset();
    }
}

int FleetProcess::terminate()
{
    if (!this->handle) {
        return 0;
    }
    ::kill(this->handle->id(), SIGTERM);
    auto code = this->handle->wait();
    this->handle.reset();
    return code;
}

}
