#include "Crowd.h"

#include <platform/WireNames.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Lovageward::Clients {

namespace {

constexpr long probeTimeoutSeconds = 10;
constexpr auto probePause = std::chrono::milliseconds(100);
/** Bytes of one write of a script without a limit of its own. */
constexpr std::size_t defaultBytesPerWrite = 262'144;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Returns -1 if the connection is refused. */
int connectTo(const std::string &ip, int port, const std::string &source)
{
    auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto local = socketAddress(source, 0);
    auto remote = socketAddress(ip, port);
    auto isConnected = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0 // NOLINT: the socket interface requires the cast.
        && ::connect(descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) == 0; // NOLINT: as above.
    if (!isConnected) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

}

Crowd::Crowd(std::string ip, int port) : ip(std::move(ip)), port(port)
{
}

Crowd::~Crowd()
{
    for (const auto &client : this->clients) {
        ::close(client.descriptor);
    }
}

void Crowd::add(std::size_t count, const ClientScript &script, std::size_t sources)
{
    auto bodyBytes = script.body ? script.body->size() : 0;
    auto length = script.repetitions * (script.head.size() + bodyBytes) - script.withheldBytes;
    for (std::size_t index = 0; index < count; ++index) {
        auto descriptor = connectTo(this->ip, this->port, fmt::format("127.0.0.{}", 1 + index % sources));
        if (descriptor >= 0) {
            this->clients.push_back({ descriptor, script, 0, length });
        }
    }
}

void Crowd::reset()
{
    for (auto &client : this->clients) {
        sendSome(client);
        linger abort { 1, 0 };
        ::setsockopt(client.descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        ::close(client.descriptor);
    }
    this->clients.clear();
}

bool Crowd::sendSome(Client &client)
{
    const auto &script = client.script;
    auto unit = script.head.size() + (script.body ? script.body->size() : 0);
    auto offset = client.sent % unit;
    auto isHead = offset < script.head.size();
    const auto &part = isHead ? script.head : *script.body;
    auto offsetInPart = isHead ? offset : offset - script.head.size();
    auto limit = script.bytesPerWrite > 0 && !isHead ? script.bytesPerWrite : defaultBytesPerWrite;
    auto count = std::min({ part.size() - offsetInPart, client.length - client.sent, limit });
    auto written = ::send(client.descriptor, part.data() + offsetInPart, count, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (written > 0) {
        client.sent += static_cast<std::size_t>(written);
        return true;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // The gateway has closed the connection.
        client.sent = client.length;
    }
    return false;
}

void Crowd::send(std::chrono::milliseconds pause, std::chrono::milliseconds patience, std::chrono::milliseconds atMost)
{
    auto now = std::chrono::steady_clock::now();
    auto end = now + atMost;
    auto progressAt = now;
    while (!this->isStopped && now < end && now < progressAt + patience) {
        auto isFinished = true;
        for (auto &client : this->clients) {
            if (client.sent < client.length) {
                isFinished = false;
                progressAt = sendSome(client) ? now : progressAt;
            }
        }
        if (isFinished) {
            return;
        }
        std::this_thread::sleep_for(pause);
        now = std::chrono::steady_clock::now();
    }
}

bool isOrdinaryRequestServed(const std::string &ip, std::size_t bodyBytes, std::chrono::milliseconds patience)
{
    auto giveUpAt = std::chrono::steady_clock::now() + patience;
    for (int number = 0; std::chrono::steady_clock::now() < giveUpAt; ++number) {
        try {
            Poco::Net::HTTPClientSession session(ip, gatewayCallerPort);
            session.setTimeout(Poco::Timespan(probeTimeoutSeconds, 0));
            Poco::Net::HTTPRequest request("POST", "/look", Poco::Net::HTTPRequest::HTTP_1_1);
            request.set("Host", "clients.example");
            request.set("Authorization", "Bearer key-of-the-team");
            request.set(WireNames::requestId, fmt::format("ordinary-{}", number));
            request.setContentLength64(static_cast<Poco::Int64>(bodyBytes));
            session.sendRequest(request) << std::string(bodyBytes, 'o');
            Poco::Net::HTTPResponse response;
            session.receiveResponse(response);
            if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
                return true;
            }
        } catch (const Poco::Exception &) {
            // Rejected or closed: the caller tries again, as every caller may.
        }
        std::this_thread::sleep_for(probePause);
    }
    return false;
}

bool isProbeAnswered(const std::string &ip, int port, const std::string &path, std::chrono::milliseconds patience)
{
    auto giveUpAt = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < giveUpAt) {
        try {
            Poco::Net::HTTPClientSession session(ip, static_cast<Poco::UInt16>(port));
            session.setTimeout(Poco::Timespan(probeTimeoutSeconds, 0));
            Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            session.receiveResponse(response);
            if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
                return true;
            }
        } catch (const Poco::Exception &) {
            // Refused or closed: the prober tries again.
        }
        std::this_thread::sleep_for(probePause);
    }
    return false;
}

std::string requestHead(const std::string &id, bool isStream, std::size_t responseBytes, const std::string &fields)
{
    return fmt::format("POST {}?bytes={} HTTP/1.1\r\nHost: clients.example\r\nAuthorization: Bearer key-of-the-team\r\n{}: {}\r\n{}{}\r\n",
                       isStream ? "/plan" : "/look",
                       responseBytes,
                       WireNames::requestId,
                       id,
                       isStream ? fmt::format("{}: 100,60\r\n", WireNames::tokenCounts) : std::string(),
                       fields);
}

}
