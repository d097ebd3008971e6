// Cost of the configuration on one node by the number of teams: bytes, time and memory of changes and checkpoints.
#include <LibConfig/ConfigState.h>

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstddef>

using namespace Lovageward;

namespace {

constexpr std::size_t modelCount = 5;
constexpr std::size_t poolCount = 24;
constexpr std::size_t classCount = 40;
// Long enough to read one change per team several times over.
constexpr std::size_t roundCount = 20;

class Stream
{
public:
    void change(ConfigState &state, const std::string &key, const std::string &value)
    {
        auto parsed = parseEntityKey(key);
        const auto *current = state.find(parsed);
        auto basedOn = current == nullptr ? Offset(0) : current->version;
        ++this->end;
        // Two changes a minute, so that the ids of an hour stay few, as with 4,500 changes a day.
        auto time = seconds(30 * this->end);
        auto recordId = RecordId(fmt::format("{:032x}", this->end));
        auto payload = encodeRecord(ConfigChange { recordId, "operator#0123abcd", WallTime(time), parsed, basedOn, value });
        this->bytes += payload.size();
        state.apply(Offset(this->end), LogTime(time), std::get<ConfigChange>(decodeRecord(payload)));
    }

    std::uint64_t end = 0;
    std::size_t bytes = 0;
};

std::string teamValue(std::size_t index, std::size_t round)
{
    auto hash = hashOfKey(fmt::format("{}-{}", index, round));
    auto previous = hashOfKey(fmt::format("{}-{}", index, round + 1));
    return fmt::format(R"({{"keyHashes":["{}","{}"],"share":{}}})", hash, previous, 1 + round);
}

void fill(ConfigState &state, Stream &stream, std::size_t teamCount)
{
    for (std::size_t index = 0; index < modelCount; ++index) {
        stream.change(state, fmt::format("model/model-{}", index), R"({"version":"1","adapters":["a","b"]})");
    }
    for (std::size_t index = 0; index < poolCount; ++index) {
        stream.change(state, fmt::format("pool/pool-{}", index), fmt::format(R"({{"models":["model-{}"]}})", index % modelCount));
    }
    for (std::size_t index = 0; index < classCount; ++index) {
        stream.change(state, fmt::format("class/class-{}", index), fmt::format(R"({{"model":"model-{}"}})", index % modelCount));
    }
    for (std::size_t index = 0; index < teamCount; ++index) {
        stream.change(state, fmt::format("team/team-{}", index), teamValue(index, 0));
    }
}

template<typename Work>
double microsecondsFor(Work &&work)
{
    auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

void measure(std::size_t teamCount)
{
    auto memoryBefore = mallinfo2().uordblks;
    ConfigState state;
    Stream stream;
    fill(state, stream, teamCount);
    auto memory = mallinfo2().uordblks - memoryBefore;
    stream.bytes = 0;
    auto changes = roundCount * teamCount;
    auto changeTime = microsecondsFor([&] {
        for (std::size_t index = 0; index < changes; ++index) {
            stream.change(state, fmt::format("team/team-{}", index % teamCount), teamValue(index, index % 7));
        }
    });
    std::string checkpoint;
    auto writeTime = microsecondsFor([&] { checkpoint = encodeRecord(state.checkpoint()); });
    auto readTime = microsecondsFor([&] { ConfigState copy(std::get<Checkpoint>(decodeRecord(checkpoint))); });
    fmt::print("{:>6} {:>12} {:>12.1f} {:>12} {:>12.0f} {:>12.0f} {:>12}\n",
               teamCount,
               stream.bytes / changes,
               changeTime / static_cast<double>(changes),
               checkpoint.size(),
               writeTime,
               readTime,
               memory);
}

}

int main()
{
    fmt::print("{:>6} {:>12} {:>12} {:>12} {:>12} {:>12} {:>12}\n", "teams", "change B", "change us", "checkpoint B", "write us", "read us", "memory B");
    for (std::size_t teamCount : { 10, 40, 160, 320, 640 }) {
        measure(teamCount);
    }
    return 0;
}
