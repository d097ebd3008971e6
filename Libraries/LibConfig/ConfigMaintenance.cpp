#include <LibConfig/ConfigMaintenance.h>

namespace Lovageward {

namespace {

// A pull brings up to 40 KiB of records; the next read of the log must not wait for more than a few.
constexpr int mostPulls = 4;

}

void ConfigMaintenance::afterStep(LogTailer::Step step)
{
    auto isLogUnavailable = step == LogTailer::Step::Unavailable;
    if (isLogUnavailable || this->store.needsCheckpoint()) {
        for (int count = 0; count < mostPulls && this->puller.step(); ++count) {
        }
    }
    // With more records to read, the state is behind and a checkpoint may just be on its way.
    if (step == LogTailer::Step::AtEnd) {
        this->writer.step();
    }
}

}
