#pragma once

#include "GatewayProcess.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Lovageward::Clients {

/** What one client sends. Clients share the text of a body, so that a crowd needs no more memory than one of them. */
struct ClientScript
{
    std::string head;
    std::shared_ptr<const std::string> body;
    /** Number of times that head and body are sent. */
    std::size_t repetitions = 1;
    /** Bytes at the end that are never sent. */
    std::size_t withheldBytes = 0;
    /** Most bytes of one write; 0 for any number. */
    std::size_t bytesPerWrite = 0;
};

/** Client connections that send without reading any response and stay open until the crowd is destroyed. */
class Crowd
{
public:
    /** Connects to the given port of the process, by default to the one for a gateway's callers. */
    explicit Crowd(std::string ip, int port = gatewayCallerPort);
    ~Crowd();

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /**
     * Opens a number of connections that follow the same script, from `sources` addresses in turn. Connections that are refused are left out.
     */
    void add(std::size_t count, const ClientScript &script, std::size_t sources = 1);

    /**
     * Sends round by round from all connections with a pause after each round, until every connection has sent all, or is closed, or has been
     * accepting nothing for `patience`; at most for `atMost`.
     */
    void send(std::chrono::milliseconds pause, std::chrono::milliseconds patience, std::chrono::milliseconds atMost);

    /** Sends once from each connection and then resets all of them. */
    void reset();

    /** Ends send() on another thread. The connections stay open. */
    void stopSending()
    {
        this->isStopped = true;
    }

private:
    struct Client
    {
        int descriptor = -1;
        ClientScript script;
        std::size_t sent = 0;
        std::size_t length = 0;
    };

    /** Writes once. Returns true if the connection accepted bytes. */
    static bool sendSome(Client &client);

    std::string ip;
    int port;
    std::vector<Client> clients;
    std::atomic<bool> isStopped = false;
};

/** Sends ordinary requests, one after another on new connections, until one is answered with 200 or `patience` has passed. Returns whether one was. */
bool isOrdinaryRequestServed(const std::string &ip, std::size_t bodyBytes, std::chrono::milliseconds patience);

/** Sends a GET for the path on new connections until one is answered with 200 or `patience` has passed. Returns whether one was. */
bool isProbeAnswered(const std::string &ip, int port, const std::string &path, std::chrono::milliseconds patience);

/** The head of a request to the services, or if `isStream` to the engines, followed by further fields. */
std::string requestHead(const std::string &id, bool isStream, std::size_t responseBytes, const std::string &fields);

}
