#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibHttp/RequestServer.h>

#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

#include <array>

using namespace Lovageward;

namespace {

/** Answers with what arrived. */
class EchoHandler final : public RequestHandler
{
public:
    bool acceptsBody(const RequestHead &head) override
    {
        return !head.fields.has("Skip-Body");
    }

    ServedResponse handle(const RequestHead &head, const std::string &body) override
    {
        auto padding = std::string(head.target.value() == "/long" ? 8'000'000 : 0, '.');
        return ServedResponse { 200, {}, padding + head.method.value() + " " + head.target.value() + " '" + body + "'" };
    }

    ServedResponse handleError(const Error &error) override
    {
        return ServedResponse { httpStatus(error.code()), {}, error.what() };
    }

    void connectionReleased(ClientWait /*wait*/, std::size_t /*open*/) override
    {
        ++this->releases;
    }

    std::atomic<int> releases = 0;
};

/** Sends the bytes and returns everything that is received until the server closes the connection. */
std::string exchangeBytes(const RequestServer &server, const std::string &bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", server.port()));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string received;
    std::array<char, 4096> block {};
    for (int count = 1; count > 0; received.append(block.data(), static_cast<std::size_t>(count))) {
        count = socket.receiveBytes(block.data(), block.size());
    }
    return received;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto position = text.find(part); position != std::string::npos; position = text.find(part, position + part.size())) {
        ++count;
    }
    return count;
}

}

TEST_CASE("Requests on one connection are answered in order until one asks for its end", "[http]")
{
    SystemClock clock;
    EchoHandler handler;
    MemoryAccount memory(clock, MemoryLimits { 10'000'000 });
    RequestServer server(clock, memory, handler, Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)), RequestServerSettings());
    auto received = exchangeBytes(server,
                                  "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                                  "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
                                  "GET /c HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n"
                                  "GET /d HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(countOf(received, "HTTP/1.1 200 OK\r\n") == 3);
    CHECK(received.find("PUT /a 'abc'") < received.find("POST /b 'de'"));
    CHECK(received.ends_with("Connection: close\r\n\r\nGET /c ''"));
}

// Guards against a readiness, metrics, control or administration address that takes the body of one request for the next request.
TEST_CASE("After a request that can't be read, or whose body isn't read, the connection carries no other one", "[http]")
{
    SystemClock clock;
    EchoHandler handler;
    RequestServerSettings settings;
    settings.limits = RequestSizeLimits { 200, 4, 10 };
    MemoryAccount memory(clock, MemoryLimits { 10'000'000 });
    RequestServer server(clock, memory, handler, Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)), settings);
    const std::string next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const auto &[line, status] : std::vector<std::pair<std::string, std::string>> {
             { "Content-Length : 30\r\n", "400" },
             { "Note: a\r\n Content-Length: 30\r\n", "400" },
             { "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n", "400" },
             { "Content-Length: 30\r\n", "413" },
             { "A: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\n", "431" },
             { "Note: " + std::string(200, 'a') + "\r\n", "431" },
             { "Transfer-Encoding: chunked\r\n", "400" },
             { "Skip-Body: 1\r\nContent-Length: 30\r\n", "200" },
         }) {
        CAPTURE(line);
        auto received = exchangeBytes(server, fmt::format("POST /a HTTP/1.1\r\nHost: a\r\n{}\r\n{}", line, next));
        CHECK(received.starts_with("HTTP/1.1 " + status));
        CHECK(countOf(received, "HTTP/1.1") == 1);
        CHECK(received.find("/next") == std::string::npos);
    }
}

namespace {

/** Connections that have sent the given bytes and neither read nor close. */
class SilentClients
{
public:
    SilentClients(const RequestServer &server, std::size_t count, const std::string &bytes)
    {
        for (std::size_t number = 0; number < count; ++number) {
            auto &socket = this->sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", server.port()));
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        }
    }

private:
    std::vector<Poco::Net::StreamSocket> sockets;
};

const std::string lastRequest = "GET /probe HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

}

// Guards against a readiness address that a few clients keep from answering: each connection had a thread, also while its request was incomplete.
TEST_CASE("A request is answered although more clients than there are places keep the server waiting", "[http]")
{
    auto bytes = GENERATE(as<std::string>(),
                          "",
                          "G",
                          "GET / HTTP/1.1\r\n",
                          "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n12345678",
                          "GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
    CAPTURE(bytes);
    SystemClock clock;
    EchoHandler handler;
    MemoryAccount memory(clock, MemoryLimits { 10'000'000 });
    RequestServerSettings settings;
    settings.maximumThreads = 1;
    settings.maximumConnections = 8;
    settings.requestTimeout = minutes(5);
    settings.idleTimeout = minutes(5);
    RequestServer server(clock, memory, handler, Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)), settings);
    {
        SilentClients clients(server, 50, bytes);
        CHECK(exchangeBytes(server, lastRequest).ends_with("GET /probe ''"));
        CHECK(handler.releases > 0);
    }
    CHECK(exchangeBytes(server, lastRequest).ends_with("GET /probe ''"));
}

// Guards against bodies that are held without having asked for memory.
TEST_CASE("A body for which there is no memory is refused as not run, and leaves nothing reserved", "[http]")
{
    SystemClock clock;
    EchoHandler handler;
    MemoryAccount memory(clock, MemoryLimits { 150'000 });
    RequestServer server(clock, memory, handler, Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)), RequestServerSettings());
    auto request = [](std::size_t bytes) {
        return fmt::format("PUT /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", bytes) + std::string(bytes, 'b');
    };
    CHECK(exchangeBytes(server, request(16'000)).starts_with("HTTP/1.1 200"));
    CHECK(exchangeBytes(server, request(200'000)).starts_with("HTTP/1.1 503"));
    CHECK(exchangeBytes(server, request(16'000)).starts_with("HTTP/1.1 200"));
    CHECK(memory.usedBytes(MemoryPurpose::Body) == 0);
    CHECK(memory.usedBytes(MemoryPurpose::Response) == 0);
}

// Guards against a stop that waits for clients.
TEST_CASE("A server ends although clients keep it waiting in every state of a connection", "[http]")
{
    SystemClock clock;
    EchoHandler handler;
    MemoryAccount memory(clock, MemoryLimits { 10'000'000 });
    RequestServerSettings settings;
    settings.requestTimeout = minutes(5);
    settings.idleTimeout = minutes(5);
    auto server = std::make_unique<RequestServer>(clock, memory, handler, Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)), settings);
    SilentClients idle(*server, 5, "");
    SilentClients unfinished(*server, 5, "GET / HT");
    SilentClients answered(*server, 5, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(exchangeBytes(*server, lastRequest).ends_with("GET /probe ''"));
    server.reset();
    CHECK(memory.usedBytes() == 0);
}
