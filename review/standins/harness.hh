// Stand-ins and helpers for the scripts of the review: a store, runners, requesters and the start of gateways.
// Plain sockets and threads, so that nothing beside a C++ compiler is needed. All addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    static const auto startedAt = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - startedAt).count();
}

inline void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(time, 0)));
}

inline std::string format(const char *pattern, ...)
{
    char text[4096];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof(text), pattern, arguments);
    va_end(arguments);
    return text;
}

/** The record of a run: one line for each thing that was sent, answered or run. */
class Record
{
public:
    explicit Record(const std::string &path) : file(std::fopen(path.c_str(), "w"))
    {
        if (this->file == nullptr) {
            std::perror("record.txt");
            std::_Exit(2);
        }
    }

    void line(const std::string &text)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        std::fprintf(this->file, "%7.3f  %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
        std::fflush(this->file);
    }

private:
    std::FILE *file;
    std::mutex mutex;
};

inline bool sameName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

/** An HTTP/1.1 request or response. */
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string get(const std::string &name) const
    {
        for (const auto &[field, value] : this->fields) {
            if (sameName(field, name)) {
                return value;
            }
        }
        return {};
    }

    /** Second word of the start line: the target of a request, the status of a response. */
    std::string secondWord() const
    {
        auto begin = this->startLine.find(' ');
        return begin == std::string::npos ? std::string() : this->startLine.substr(begin + 1, this->startLine.find(' ', begin + 1) - begin - 1);
    }
};

/** A TCP connection with a receive buffer. */
class Connection
{
public:
    explicit Connection(int descriptor) : descriptor(descriptor)
    {
        int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection()
    {
        this->close();
    }

    enum class Read {
        Data,
        Timeout,
        Closed,
        Reset,
    };

    Read receive(std::int64_t untilMs)
    {
        pollfd waiting { this->descriptor, POLLIN, 0 };
        auto left = std::max<std::int64_t>(untilMs - nowMs(), 0);
        if (::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return Read::Timeout;
        }
        char bytes[65536];
        auto count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count > 0) {
            this->buffer.append(bytes, static_cast<std::size_t>(count));
            return Read::Data;
        }
        return count == 0 ? Read::Closed : Read::Reset;
    }

    /** Returns false if the peer has gone or doesn't read until the time given. */
    bool send(const std::string &bytes, std::int64_t untilMs = -1)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            pollfd waiting { this->descriptor, POLLOUT, 0 };
            auto left = untilMs < 0 ? 60'000 : std::max<std::int64_t>(untilMs - nowMs(), 0);
            if (::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
            auto count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0 && errno != EAGAIN) {
                return false;
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return true;
    }

    /** True once the peer has closed or reset the connection. Doesn't wait. */
    bool isGone()
    {
        pollfd waiting { this->descriptor, POLLIN, 0 };
        while (::poll(&waiting, 1, 0) > 0) {
            auto result = this->receive(nowMs());
            if (result != Read::Data) {
                return result != Read::Timeout;
            }
        }
        return false;
    }

    void reset()
    {
        linger off { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
        this->close();
    }

    void close()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

    bool isOpen() const
    {
        return this->descriptor >= 0;
    }

    std::string buffer;

private:
    int descriptor;
};

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Listens on a free port, which is stored in `port`. */
inline int listenOn(const std::string &ip, int &port)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = socketAddress(ip, port);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(descriptor, 512) != 0) {
        std::perror("listen");
        std::_Exit(2);
    }
    socklen_t length = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return descriptor;
}

/** True if the port is free on the address, for TCP and UDP. */
inline bool isFree(const std::string &ip, int port)
{
    auto address = socketAddress(ip, port);
    for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
        int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        auto isBound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (!isBound) {
            return false;
        }
    }
    return true;
}

/** The first of `count` free ports in a row, below the range from which the kernel draws the ports of outgoing connections. */
inline int freePorts(const std::vector<std::string> &ips, int count)
{
    static int next = 10'000 + static_cast<int>(::getpid() % 1'000) * 20;
    while (true) {
        next = next + count > 32'000 ? 10'000 : next;
        bool areFree = true;
        for (int port = next; port < next + count; ++port) {
            areFree = areFree && std::all_of(ips.begin(), ips.end(), [port](const auto &ip) { return isFree(ip, port); });
        }
        next += count;
        if (areFree) {
            return next - count;
        }
    }
}

inline std::unique_ptr<Connection> connectTo(const std::string &ip, int port)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

/** Takes the head of a message from the buffer. Returns false if it is incomplete. */
inline bool takeHead(std::string &buffer, Message &message)
{
    auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    auto head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    auto lineEnd = head.find("\r\n");
    message.startLine = head.substr(0, lineEnd);
    for (auto begin = lineEnd + 2; begin < head.size(); begin = lineEnd + 2) {
        lineEnd = head.find("\r\n", begin);
        auto line = head.substr(begin, lineEnd - begin);
        auto colon = line.find(':');
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.fields.emplace_back(line.substr(0, colon), value);
    }
    return true;
}

/** Reads a request with a Content-Length or without a body. Returns false if the connection ends before. */
inline bool readRequest(Connection &connection, Message &request)
{
    while (!takeHead(connection.buffer, request)) {
        if (connection.receive(nowMs() + 120'000) != Connection::Read::Data) {
            return false;
        }
    }
    auto text = request.get("Content-Length");
    std::size_t length = text.empty() ? 0 : std::stoull(text);
    while (connection.buffer.size() < length) {
        if (connection.receive(nowMs() + 120'000) != Connection::Read::Data) {
            return false;
        }
    }
    request.body = connection.buffer.substr(0, length);
    connection.buffer.erase(0, length);
    return true;
}

/** Accepts connections and serves each on a thread of its own, until the process ends. */
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(const std::string &ip, Handler handler, int wantedPort = 0) : serverPort(wantedPort), handler(std::move(handler))
    {
        this->listener = listenOn(ip, this->serverPort);
        std::thread([this] {
            while (true) {
                int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor >= 0) {
                    std::thread([this, descriptor] {
                        Connection connection(descriptor);
                        this->handler(connection);
                    }).detach();
                }
            }
        }).detach();
    }

    int port() const
    {
        return this->serverPort;
    }

private:
    int listener = -1;
    int serverPort;
    Handler handler;
};

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int left = bytes; left > 0; --left) {
        text += static_cast<char>(number >> (8 * (left - 1)) & 0xFF);
    }
    return text;
}

inline std::string base64(const std::string &text)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = group << 8 | (at + offset < text.size() ? static_cast<unsigned char>(text[at + offset]) : 0U);
        }
        for (int part = 0; part < 4; ++part) {
            encoded += at + static_cast<std::size_t>(part) > text.size() ? '=' : letters[group >> (18 - 6 * part) & 0x3F];
        }
    }
    return encoded;
}

/** The platform's store with the calls that gateways make: append, read and the newest record of each key. */
class Store
{
public:
    /** `entrances` is the number of ports on which the store listens, so that a script can give each gateway one of its own and see which of them reads. */
    explicit Store(const std::string &ip, std::size_t entrances = 1) : ip(ip)
    {
        for (std::size_t entrance = 0; entrance < entrances; ++entrance) {
            this->servers.push_back(std::make_unique<Server>(ip, [this, entrance](Connection &connection) { this->serve(connection, entrance); }));
        }
    }

    std::string address(std::size_t entrance = 0) const
    {
        return this->ip + ":" + std::to_string(this->servers[entrance]->port());
    }

    /** The entrances through which the topic was read within the last 900 ms. */
    std::vector<std::size_t> recentReaders(const std::string &topic)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        std::vector<std::size_t> readers;
        for (const auto &[reader, readAt] : this->reads) {
            if (reader.first == topic && nowMs() - readAt < 900) {
                readers.push_back(reader.second);
            }
        }
        return readers;
    }

    /** What the operator and the runners write. An empty value drops the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->topics[topic].push_back(std::string(1, static_cast<char>(key.size())) + key + value);
        this->appended.notify_all();
    }

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        auto begin = target.find(name + "=");
        if (begin == std::string::npos) {
            return {};
        }
        begin += name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    void serve(Connection &connection, std::size_t entrance)
    {
        Message request;
        while (readRequest(connection, request)) {
            auto target = request.secondWord();
            auto topic = parameter(target, "topic");
            std::string body;
            if (target.starts_with("/-/log-append")) {
                std::lock_guard<std::mutex> guard(this->mutex);
                this->topics[topic].push_back(request.body.substr(4));
                body = "{\"offset\":" + std::to_string(this->topics[topic].size() - 1) + ",\"end\":" + std::to_string(this->topics[topic].size()) + "}";
                this->appended.notify_all();
            } else if (target.starts_with("/-/log-read")) {
                {
                    std::lock_guard<std::mutex> guard(this->mutex);
                    this->reads[{ topic, entrance }] = nowMs();
                }
                body = this->read(topic, std::stoull(parameter(target, "fromRev")), std::stoi(parameter(target, "waitMs")));
            } else {
                body = this->newest(topic);
            }
            if (!connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
            request = Message();
        }
    }

    std::string read(const std::string &topic, std::uint64_t from, int waitMs)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->appended.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return this->topics[topic].size() > from; });
        const auto &records = this->topics[topic];
        auto body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (auto at = from; at < records.size(); ++at) {
            body += bigEndian(records[at].size(), 4) + records[at];
        }
        return body;
    }

    std::string newest(const std::string &topic)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        std::map<std::string, std::pair<std::string, std::size_t>> values;
        const auto &records = this->topics[topic];
        for (std::size_t offset = 0; offset < records.size(); ++offset) {
            auto length = static_cast<unsigned char>(records[offset].front());
            values[records[offset].substr(1, length)] = { records[offset].substr(1 + length), offset };
        }
        std::string items;
        for (const auto &[key, value] : values) {
            if (!value.first.empty()) {
                items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key + "\",\"value\":\"") + base64(value.first)
                    + "\",\"offset\":" + std::to_string(value.second) + "}";
            }
        }
        return "{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + std::to_string(records.size()) + "}";
    }

    std::string ip;
    std::mutex mutex;
    std::condition_variable appended;
    std::map<std::string, std::vector<std::string>> topics;
    /** Time of the newest read by topic and entrance. */
    std::map<std::pair<std::string, std::size_t>, std::int64_t> reads;
    std::vector<std::unique_ptr<Server>> servers;
};

/** A gateway process, started with the command of the deploy file. */
class Gateway
{
public:
    Gateway(const std::string &folder, const std::string &name, const std::string &ip, const std::string &store, const std::string &seedIp, int peerPort)
        : ip(ip), folder(folder), name(name), frontPort(freePorts({ ip }, 1)), readyPort(freePorts({ ip }, 1))
    {
        std::ofstream file(this->settingsPath());
        file << "host = " << name
             << "\nregion = guj-west\nfailure-domain = surat-a\ndomains = surat-a:guj-west,mehsana-a:guj-north,rajkot-b:guj-west\nlisten = " << ip << ":"
             << this->frontPort << "\nready-listen = " << ip << ":" << this->readyPort << "\nready-path = /-/readiness\ncontrol-listen = " << ip << ":"
             << peerPort + 1 << "\npeer-listen = " << ip << ":" << peerPort << "\nseeds = " << seedIp << ":8748\nstore = " << store
             << "\ngrace-seconds = 8\nretry-ratio = 0.2\nretry-slack = 52\nretry-window-seconds = 10\ncold-factor = 1.5\ncold-slack = 5\nmemory-megabytes = "
                "110\n"
                "descriptors = 4100\n";
    }

    ~Gateway()
    {
        this->kill();
    }

    void start()
    {
        auto log = this->folder + "/" + this->name + ".log";
        this->process = ::fork();
        if (this->process == 0) {
            // The gateway must not outlive the script.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("LOVAGEWARD_CONFIG", this->settingsPath().c_str(), 1);
            ::execl("target/Services/lovageward/lovageward", "target/Services/lovageward/lovageward", "gateway", nullptr);
            std::_Exit(127);
        }
    }

    bool isReady() const
    {
        auto connection = connectTo(this->ip, this->readyPort);
        if (!connection || !connection->send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            return false;
        }
        Message answer;
        while (!takeHead(connection->buffer, answer)) {
            if (connection->receive(nowMs() + 1000) != Connection::Read::Data) {
                return false;
            }
        }
        return answer.secondWord() == "200";
    }

    /** Exits with 2 if the process doesn't become ready. */
    void awaitReady() const
    {
        auto until = nowMs() + 15'000;
        while (!this->isReady()) {
            if (nowMs() > until) {
                std::fprintf(stderr, "%s did not become ready\n", this->name.c_str());
                ::kill(this->process, SIGKILL);
                std::_Exit(2);
            }
            sleepMs(50);
        }
    }

    void signal(int number) const
    {
        if (this->process > 0) {
            ::kill(this->process, number);
        }
    }

    /** Waits for the end of the process. Returns false if it still runs then. `status` is as of waitpid(). */
    bool awaitEnd(std::int64_t untilMs, int &status)
    {
        while (this->process > 0 && nowMs() < untilMs) {
            if (::waitpid(this->process, &status, WNOHANG) == this->process) {
                this->process = -1;
                return true;
            }
            sleepMs(5);
        }
        return this->process <= 0;
    }

    void kill()
    {
        if (this->process > 0) {
            ::kill(this->process, SIGKILL);
            ::waitpid(this->process, nullptr, 0);
            this->process = -1;
        }
    }

    int port() const
    {
        return this->frontPort;
    }

    const std::string ip;

private:
    std::string settingsPath() const
    {
        return this->folder + "/" + this->name + ".settings";
    }

    std::string folder;
    std::string name;
    int frontPort;
    int readyPort;
    pid_t process = -1;
};

/** How an answer ended for a requester. */
struct Answer
{
    /** 0 if no head came. */
    int status = 0;
    Message head;
    std::string body;
    bool isComplete = false;
    /** The connection was closed or reset before the end of the answer. */
    bool hasEnded = false;
    std::int64_t firstByteAt = -1;
    std::int64_t endedAt = -1;
};

/** Reads an answer with a length or in chunks. `connection` stays open after a complete one. */
inline Answer readAnswer(Connection &connection, std::int64_t untilMs, const std::function<void(const std::string &body)> &onBody = {})
{
    Answer answer;
    bool hasHead = false;
    std::string chunked;
    while (true) {
        if (!hasHead && takeHead(connection.buffer, answer.head)) {
            hasHead = true;
            answer.status = std::atoi(answer.head.secondWord().c_str());
            answer.firstByteAt = nowMs();
        }
        if (hasHead) {
            auto length = answer.head.get("Content-Length");
            if (!length.empty()) {
                auto wanted = std::stoull(length) - answer.body.size();
                answer.body += connection.buffer.substr(0, wanted);
                connection.buffer.erase(0, wanted);
                answer.isComplete = answer.body.size() == std::stoull(length);
            } else {
                while (!answer.isComplete) {
                    auto lineEnd = connection.buffer.find("\r\n");
                    if (lineEnd == std::string::npos) {
                        break;
                    }
                    auto size = std::strtoull(connection.buffer.c_str(), nullptr, 16);
                    if (connection.buffer.size() < lineEnd + 2 + size + 2) {
                        break;
                    }
                    answer.body += connection.buffer.substr(lineEnd + 2, size);
                    connection.buffer.erase(0, lineEnd + 2 + size + 2);
                    answer.isComplete = size == 0;
                }
            }
            if (onBody) {
                onBody(answer.body);
            }
        }
        if (answer.isComplete) {
            break;
        }
        auto result = connection.receive(untilMs);
        if (result != Connection::Read::Data) {
            answer.hasEnded = result != Connection::Read::Timeout;
            break;
        }
    }
    answer.endedAt = nowMs();
    return answer;
}

inline std::string newId()
{
    static std::atomic<std::uint64_t> last = 0;
    static const std::uint64_t base = static_cast<std::uint64_t>(::getpid()) << 32;
    return format("%016llx", static_cast<unsigned long long>(base + ++last));
}

}
