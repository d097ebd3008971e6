#pragma once

#include <LibNode/NodeSettings.h>

#include <memory>

namespace Lovageward {

/** One node: all parts wired together. Builds everything in the constructor, starts threads in start() and stops them in stop(). */
class Node
{
public:
    /** Throws Error(InvalidSettings) if an address can't be bound. */
    explicit Node(const NodeSettings &settings);
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts to serve. Until the configuration was read, new work is refused with NodeStarting. */
    void start();

    /** Graceful shutdown: no new work, running streams finish until the shutdown limit of the settings. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
