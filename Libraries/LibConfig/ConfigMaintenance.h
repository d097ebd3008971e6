#pragma once

#include <LibConfig/CheckpointWriter.h>
#include <LibConfig/ConfigPuller.h>
#include <LibLog/LogTailer.h>

namespace Lovageward {

/** What a node does for the configuration after each read of the `config` stream. Not thread-safe; the reading thread drives it. */
class ConfigMaintenance
{
public:
    ConfigMaintenance(ConfigStore &store, ConfigPuller &puller, CheckpointWriter &writer) : store(store), puller(puller), writer(writer)
    {
    }

    /** Asks peers if the log gave no complete configuration, and writes a checkpoint if one is due. Blocks for a few seconds at most. */
    void afterStep(LogTailer::Step step);

private:
    ConfigStore &store;
    ConfigPuller &puller;
    CheckpointWriter &writer;
};

}
