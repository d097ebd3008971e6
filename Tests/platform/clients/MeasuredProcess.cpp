#include "MeasuredProcess.h"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Lovageward::Clients {

namespace {

constexpr auto sampleInterval = std::chrono::milliseconds(20);

/** The address as /proc/net/tcp writes it. */
std::string kernelNotation(const std::string &ip)
{
    in_addr address {};
    ::inet_pton(AF_INET, ip.c_str(), &address);
    return fmt::format("{:08X}", address.s_addr);
}

}

MeasuredProcess::MeasuredProcess(const std::vector<std::string> &command, std::string ip)
    : ip(std::move(ip)), process(command, [this](const std::string &line) { this->output += line.size() + 1; })
{
    this->sampler = std::thread([this] {
        while (!this->isStopping) {
            this->sample();
            std::this_thread::sleep_for(sampleInterval);
        }
    });
}

MeasuredProcess::~MeasuredProcess()
{
    this->isStopping = true;
    this->sampler.join();
}

std::size_t MeasuredProcess::statusBytes(const std::string &field) const
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status(fmt::format("/proc/{}/status", this->process.id()));
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field)) {
            return std::stoull(line.substr(line.find(':') + 1)) * bytesPerKilobyte;
        }
    }
    return 0;
}

bool MeasuredProcess::isAlive() const
{
    // A process that has ended keeps its entry until it is waited for, but no longer has any memory.
    return this->peakResidentBytes() > 0;
}

std::size_t MeasuredProcess::peakResidentBytes() const
{
    return this->statusBytes("VmHWM:");
}

std::size_t MeasuredProcess::openDescriptors() const
{
    std::error_code problem;
    std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", this->process.id()), problem);
    return problem ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::set<std::string> MeasuredProcess::socketInodes() const
{
    static const std::string prefix = "socket:[";
    std::set<std::string> inodes;
    std::error_code problem;
    for (std::filesystem::directory_iterator entry(fmt::format("/proc/{}/fd", this->process.id()), problem), end; !problem && entry != end;
         entry.increment(problem)) {
        std::error_code isClosed;
        auto target = std::filesystem::read_symlink(entry->path(), isClosed).string();
        if (!isClosed && target.starts_with(prefix)) {
            inodes.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    return inodes;
}

std::size_t MeasuredProcess::unreadBytes() const
{
    auto inodes = this->socketInodes();
    auto ownAddress = kernelNotation(this->ip) + ":";
    std::size_t bytes = 0;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues, timer, retransmissions, user, timeout, inode;
        fields >> number >> local >> remote >> state >> queues >> timer >> retransmissions >> user >> timeout >> inode;
        constexpr auto listening = "0A";
        // A connection that wasn't accepted yet has no inode, but the address of its listener.
        auto isOwn = inodes.contains(inode) || (inode == "0" && local.starts_with(ownAddress));
        if (isOwn && state != listening) {
            bytes += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return bytes;
}

void MeasuredProcess::sample()
{
    auto unread = this->unreadBytes();
    this->peakUnread = std::max<std::size_t>(this->peakUnread, unread);
    this->peakMemory = std::max<std::size_t>(this->peakMemory, this->statusBytes("VmRSS:") + unread);
}

bool MeasuredProcess::stop(std::chrono::milliseconds patience)
{
    this->process.signal(SIGTERM);
    auto giveUpAt = std::chrono::steady_clock::now() + patience;
    while (this->isAlive() && std::chrono::steady_clock::now() < giveUpAt) {
        std::this_thread::sleep_for(sampleInterval);
    }
    return !this->isAlive();
}

}
