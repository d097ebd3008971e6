#include <LibForward/FeedPageCache.h>

#include <LibCore/Error.h>
#include <LibPeer/Compression.h>

#include <msgpack.hpp>

#include <tuple>
#include <vector>

namespace Lovageward {

namespace {

using WireRecord = std::tuple<std::string, std::string, std::uint64_t>;
using WirePage = std::tuple<std::uint64_t, std::vector<WireRecord>>;
/** The era of the page and those of its records follow. */
using WirePageWithEras = std::tuple<std::uint64_t, std::vector<WireRecord>, std::uint64_t, std::vector<std::uint64_t>>;
constexpr std::size_t wirePageSizeWithEras = std::tuple_size_v<WirePageWithEras>;

/** Bounds the memory for decompression. A topic with ten thousand upstreams or the largest configuration stays below it. */
constexpr std::size_t maximumPageBytes = std::size_t(16) * 1024 * 1024;

}

std::string encodeFeedPage(const FeedPage &page)
{
    std::vector<WireRecord> records;
    records.reserve(page.records.size());
    for (const auto &record : page.records) {
        records.emplace_back(record.key, record.value, record.offset);
    }
    msgpack::sbuffer buffer;
    if (page.era == StoreEra()) {
        msgpack::pack(buffer, WirePage(page.nextOffset, std::move(records)));
    } else {
        std::vector<std::uint64_t> eras;
        for (const auto &record : page.records) {
            eras.push_back(record.era.value());
        }
        msgpack::pack(buffer, WirePageWithEras(page.nextOffset, std::move(records), page.era.value(), std::move(eras)));
    }
    return deflated({ buffer.data(), buffer.size() });
}

FeedPage decodeFeedPage(const std::string &bytes)
{
    auto decompressed = inflated(bytes, maximumPageBytes);
    try {
        auto handle = msgpack::unpack(decompressed.data(), decompressed.size());
        WirePageWithEras wirePage;
        if (handle.get().type == msgpack::type::ARRAY && handle.get().via.array.size >= wirePageSizeWithEras) {
            wirePage = handle.get().as<WirePageWithEras>();
        } else {
            std::tie(std::get<0>(wirePage), std::get<1>(wirePage)) = handle.get().as<WirePage>();
        }
        auto &[nextOffset, records, era, eras] = wirePage;
        FeedPage page { {}, nextOffset, StoreEra(era) };
        eras.resize(records.size(), era);
        for (std::size_t index = 0; index < records.size(); ++index) {
            auto &[key, value, offset] = records[index];
            page.records.push_back(FeedRecord { std::move(key), std::move(value), offset, StoreEra(eras[index]) });
        }
        return page;
    } catch (const msgpack::unpack_error &error) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, error.what());
    } catch (const msgpack::type_error &error) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, error.what());
    }
}

std::string FeedPageCache::encodedPage(FeedTopic topic, const FeedPosition &position)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &page = this->cachedPages[static_cast<std::size_t>(topic)];
    if (page.encoded.empty() || page.from != position || page.nextPosition != this->mirror.nextPosition(topic)) {
        auto records = this->mirror.recordsSince(topic, position);
        page = CachedPage { position, records.nextPosition(), encodeFeedPage(records) };
    }
    return page.encoded;
}

}
