#pragma once

#include <LibConfig/ConfigPullMessages.h>
#include <LibConfig/ConfigStore.h>
#include <LibPeer/PeerTransport.h>

namespace Lovageward {

/** Answers nodes that are behind. Thread-safe. Lock order: its mutex comes before that of the store. */
class ConfigPullHandler final : public PeerHandler
{
public:
    explicit ConfigPullHandler(const ConfigStore &store) : store(store)
    {
    }

    std::string handle(const PeerMessage &message) override;

private:
    ConfigPullAnswer answerTo(const ConfigPullRequest &request);
    void addStatePart(ConfigPullAnswer &answer, const ConfigPullRequest &request);
    void refreshState();

    const ConfigStore &store;
    std::mutex mutex;
    /** The encoded state that is being sent; kept while parts of it are asked for. */
    Offset stateAsOf;
    std::string stateBytes;
};

}
