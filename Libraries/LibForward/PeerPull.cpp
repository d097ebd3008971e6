#include <LibForward/PeerPull.h>

#include <LibCore/Error.h>
#include <LibHttp/SimpleHttp.h>

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <msgpack.hpp>

#include <tuple>
#include <vector>

namespace Lovageward {

namespace {

using WireRecord = std::tuple<std::string, std::string, std::uint64_t>;
using WirePage = std::tuple<std::uint64_t, std::vector<WireRecord>>;

constexpr Duration pullLimit = milliseconds(500);

/** Peers that are asked before the pull is given up. */
constexpr std::size_t mostTries = 2;

constexpr int okStatus = 200;

}

std::string encodeFeedPage(const FeedPage &page)
{
    std::vector<WireRecord> records;
    for (const auto &record : page.records) {
        records.emplace_back(record.key, record.value, record.offset);
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, WirePage(page.nextOffset, std::move(records)));
    return { buffer.data(), buffer.size() };
}

FeedPage decodeFeedPage(const std::string &bytes)
{
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size());
        auto [nextOffset, records] = handle.get().as<WirePage>();
        FeedPage page;
        page.nextOffset = nextOffset;
        for (auto &[key, value, offset] : records) {
            page.records.push_back(FeedRecord { std::move(key), std::move(value), offset });
        }
        return page;
    } catch (const msgpack::unpack_error &error) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, error.what());
    } catch (const msgpack::type_error &error) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, error.what());
    }
}

FeedPage PeerPull::pull(FeedTopic topic, std::uint64_t offset)
{
    auto candidates = this->peers.ahead(topic, offset);
    std::string problem = "no peer has newer records";
    for (std::size_t tries = 0; tries < std::min(mostTries, candidates.size()); ++tries) {
        const auto &peer = candidates[tries];
        auto address = fmt::format("{}:{}", peer.substr(0, peer.rfind(':')), this->port);
        auto path = fmt::format("{}?topic={}&from={}", feedPagePath, static_cast<int>(topic), offset);
        try {
            auto answer = exchange(this->clock, address, "GET", path, {}, this->clock.now() + pullLimit);
            if (answer.status == okStatus) {
                return decodeFeedPage(answer.body);
            }
            problem = fmt::format("{} answered {}", address, answer.status);
        } catch (const Poco::Exception &error) {
            problem = fmt::format("{}: {}", address, error.displayText());
        }
    }
    throw Error(ResultCode::PeerUnreachable, RunState::NotRun, problem);
}

bool PeerPull::isAnyAhead(FeedTopic topic, std::uint64_t offset) const
{
    return !this->peers.ahead(topic, offset).empty();
}

bool PeerPull::isReader(FeedTopic topic) const
{
    return this->peers.isReader(topic);
}

TimePoint PeerPull::coveredUntil(FeedTopic topic) const
{
    return this->peers.coveredUntil(topic);
}

}
