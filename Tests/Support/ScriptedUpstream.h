#pragma once

#include <LibCore/Time.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Lovageward {

/** Server side of one connection to a ScriptedUpstream. */
class ScriptedConnection
{
public:
    explicit ScriptedConnection(const Poco::Net::StreamSocket &socket) : socket(socket)
    {
        this->socket.setReceiveTimeout(Poco::Timespan(20, 0));
    }

    /** Reads a request up to the end of its head at least. Returns an empty string if the peer closed the connection. */
    std::string readRequestHead()
    {
        std::string bytes;
        while (bytes.find("\r\n\r\n") == std::string::npos) {
            if (!this->receive(bytes)) {
                return {};
            }
        }
        return bytes;
    }

    /** Reads a request with its body. Returns an empty string if the peer closed the connection. */
    std::string readRequest()
    {
        auto bytes = this->readRequestHead();
        if (bytes.empty()) {
            return {};
        }
        auto headEnd = bytes.find("\r\n\r\n") + 4;
        auto length = std::stoul(field(bytes, "Content-Length", "0"));
        while (bytes.size() < headEnd + length) {
            if (!this->receive(bytes)) {
                return {};
            }
        }
        return bytes;
    }

    void send(const std::string &bytes)
    {
        this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    /** Sends a response with Content-Length, the echoed request id and, by default, the mark that a success must have. */
    void respond(int status, const std::string &request, const std::string &body, const std::string &fields = "Mark: m\r\n")
    {
        this->send(fmt::format("HTTP/1.1 {} Status\r\nId: {}\r\n{}Content-Length: {}\r\n\r\n{}", status, field(request, "Id"), fields, body.size(), body));
    }

    void beginStream(const std::string &request)
    {
        this->send(
            fmt::format("HTTP/1.1 200 OK\r\nId: {}\r\nMark: m\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", field(request, "Id")));
    }

    void sendEvent(int id)
    {
        auto event = fmt::format("id: {}\ndata: e{}\n\n", id, id);
        this->send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
    }

    void endStream()
    {
        this->send("0\r\n\r\n");
    }

    void reset()
    {
        this->socket.setLinger(true, 0);
        this->socket.close();
    }

    /** Closes the connection, which the kernel resets if bytes of the request are unread. */
    void close()
    {
        this->socket.close();
    }

    /** Ends the bytes that are sent, and keeps the connection open. */
    void finishSending()
    {
        this->socket.shutdownSend();
    }

    /** Waits for the time, or until the peer closes the connection. */
    void pause(Duration time)
    {
        this->socket.poll(Poco::Timespan(time.count()), Poco::Net::Socket::SELECT_READ);
    }

    /** Sends one byte of an endless event five times a second until the peer closes the connection. */
    void sendSlowlyUntilClosed()
    {
        constexpr int pauseMicroseconds = 200'000;
        try {
            do {
                this->send("1\r\nd\r\n");
            } while (!this->socket.poll(Poco::Timespan(pauseMicroseconds), Poco::Net::Socket::SELECT_READ));
        } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the peer closed the connection.
        }
    }

    /** Sends the bytes repeatedly until the peer closes the connection. */
    void sendEndlessly(const std::string &bytes)
    {
        std::string buffer;
        while (buffer.size() < sendBufferBytes) {
            buffer += bytes;
        }
        try {
            while (this->socket.sendBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
            }
        } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the peer closed the connection.
        }
    }

    /** Waits until the peer closes or resets the connection. */
    void awaitClose()
    {
        std::string ignored;
        while (this->receive(ignored)) {
        }
    }

    static std::string field(const std::string &message, const std::string &name, const std::string &defaultValue = {})
    {
        auto at = message.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return defaultValue;
        }
        auto begin = at + name.size() + 4;
        return message.substr(begin, message.find("\r\n", begin) - begin);
    }

private:
    static constexpr std::size_t sendBufferBytes = 32'768;

    bool receive(std::string &bytes)
    {
        char buffer[4096];
        try {
            auto count = this->socket.receiveBytes(buffer, sizeof(buffer));
            bytes.append(buffer, static_cast<std::size_t>(std::max(count, 0)));
            return count > 0;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    Poco::Net::StreamSocket socket;
};

/** How much of a request a ScriptedUpstream reads before it runs its script. */
enum class RequestReading {
    Whole,
    /** The head, and as much of the body as arrives with it. A large body is still being written while the script runs. */
    HeadOnly,
};

/** An upstream on loopback that runs a script for each connection. */
class ScriptedUpstream
{
public:
    using Script = std::function<void(ScriptedConnection &connection, const std::string &request)>;

    explicit ScriptedUpstream(Script script, RequestReading reading = RequestReading::Whole)
        : script(std::move(script)), reading(reading), listener(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        if (reading == RequestReading::HeadOnly) {
            // Accepted connections inherit the size. By default the kernel would hold a body of some megabytes.
            this->listener.setReceiveBufferSize(smallReceiveBufferBytes);
        }
        this->acceptor = std::thread([this] { this->accept(); });
    }

    ~ScriptedUpstream()
    {
        this->isStopping = true;
        this->acceptor.join();
        for (auto &thread : this->connections) {
            thread.join();
        }
    }

    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    std::string address() const
    {
        return this->listener.address().toString();
    }

    std::vector<std::string> requests()
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        return this->received;
    }

    /** Waits until `count` requests have arrived in total. */
    void awaitRequests(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait(lock, [&] { return this->received.size() >= count; });
    }

private:
    void accept()
    {
        while (!this->isStopping) {
            if (this->listener.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
                this->connections.emplace_back([this, socket = this->listener.acceptConnection()] { this->serve(socket); });
            }
        }
    }

    void serve(const Poco::Net::StreamSocket &socket)
    {
        ScriptedConnection connection(socket);
        auto request = this->reading == RequestReading::Whole ? connection.readRequest() : connection.readRequestHead();
        if (request.empty()) {
            return;
        }
        {
            std::lock_guard<std::mutex> guard(this->mutex);
            this->received.push_back(request);
        }
        this->changed.notify_all();
        try {
            this->script(connection, request);
        } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the gateway may close the connection at any time.
        }
    }

    static constexpr int smallReceiveBufferBytes = 4096;

    Script script;
    RequestReading reading;
    Poco::Net::ServerSocket listener;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> received;
    std::vector<std::thread> connections;
    std::thread acceptor;
};

}
