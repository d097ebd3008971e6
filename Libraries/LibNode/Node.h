#pragma once

#include <LibNode/NodeSettings.h>

#include <memory>

namespace Lovageward {

/** A node with all of its components. The constructor creates the components; start() starts their threads and stop() ends them. */
class Node
{
public:
    /** Throws Error(InvalidSettings) if an address can't be bound. */
    explicit Node(const NodeSettings &settings);
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts serving. New work is refused with NodeStarting until the configuration has been read. */
    void start();

    /** Shuts down gracefully: refuses new work and lets running streams finish within the shutdown timeout of the settings. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
