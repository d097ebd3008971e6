#pragma once

#include <LibHttp/AdministrationApi.h>
#include <LibHttp/RequestServer.h>

#include <memory>

namespace Lovageward {

struct AdministrationSettings
{
    /** IP address to listen on. */
    std::string address = "127.0.0.1";
    /** 0 lets the system choose; see AdministrationServer::port(). */
    std::uint16_t port = 0;
    /** See AdministrationKeys. */
    std::vector<std::string> keys;
    /** Time that a change may take to come back from the log. */
    Duration changeTimeout = seconds(5);
    /** Time without a byte after which a connection is closed. */
    Duration connectionTimeout = seconds(10);
    int maximumThreads = 8;
    std::size_t maximumConnections = 64;
    /** In bytes. */
    std::size_t maximumBody = std::size_t(64) * 1024;
};

/** Serves the administration API over HTTP on its own port from construction to destruction. */
class AdministrationServer
{
public:
    /** Throws Error(InvalidSettings) for bad keys or an address that can't be listened on. */
    AdministrationServer(const AdministrationSettings &settings,
                         const Clock &clock,
                         MemoryAccount &memory,
                         RandomSource &random,
                         LogSink &sink,
                         Counters &counters,
                         ConfigStore &store,
                         const AuditTrail &auditTrail,
                         const Membership &membership,
                         const UpstreamTable &upstreams,
                         OrderDesk *orderDesk);
    ~AdministrationServer();
    AdministrationServer(const AdministrationServer &) = delete;
    AdministrationServer &operator=(const AdministrationServer &) = delete;

    /** Port on which the server listens. */
    std::uint16_t port() const;

private:
    AdministrationApi api;
    std::unique_ptr<RequestHandler> handler;
    std::unique_ptr<RequestServer> server;
};

}
