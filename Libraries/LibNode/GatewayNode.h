#pragma once

#include <LibGateway/ForwardProtocol.h>
#include <LibGateway/HostDirectory.h>
#include <LibGateway/StateFeed.h>
#include <LibGateway/StatusBoard.h>
#include <LibNode/GatewaySettings.h>
#include <LibNode/SettingsFileWatcher.h>

#include <memory>

namespace Lovageward {

/** Protocol and store clients that a gateway uses. All references must outlive the node; each feed and the directory are used by one thread only. */
struct GatewayDependencies
{
    const ForwardProtocol &protocol;
    const FeedDecoder &decoder;
    StateFeed &operatorFeed;
    StateFeed &upstreamFeed;
    HostDirectory &directory;
    /** Both are used only if roll-outs are enabled. */
    StateFeed &statusFeed;
    StatusBoard &statusBoard;
};

/** A node that forwards callers' requests to upstreams, with all of its components. */
class GatewayNode final : public SettingsListener
{
public:
    /** Throws Error(InvalidSettings) if an address can't be bound. */
    GatewayNode(const GatewaySettings &settings, const GatewayDependencies &dependencies);
    ~GatewayNode() override;

    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /** Starts serving. The node isn't ready until configuration and upstreams have been read. */
    void start();

    /**
     * Shuts down gracefully: the node stops being ready at once and lets running requests finish until shortly before the end of the grace
     * period. Returns false if some requests didn't finish. Their threads may still run, so the process has to end without destructors.
     */
    bool stop();

    /** Applies changed seeds and the grace period, and logs which changed settings require a restart. */
    void settingsChanged(const GatewaySettings &changed) override;
    void settingsRejected(const std::string &reason) override;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
