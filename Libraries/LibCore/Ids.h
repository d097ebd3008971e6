#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Lovageward {

/** Identifier held as text; each tag makes a type of its own, so that ids of different kinds can't be mixed up. */
template<typename Tag>
class TextId
{
public:
    TextId() = default;
    explicit TextId(std::string text) : text(std::move(text))
    {
    }

    const std::string &value() const
    {
        return this->text;
    }

    bool isEmpty() const
    {
        return this->text.empty();
    }

    auto operator<=>(const TextId &) const = default;

private:
    std::string text;
};

/** Identifier or count held as an unsigned 64 bit number. */
template<typename Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t number) : number(number)
    {
    }

    constexpr std::uint64_t value() const
    {
        return this->number;
    }

    constexpr auto operator<=>(const NumberId &) const = default;

private:
    std::uint64_t number = 0;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &stream, const TextId<Tag> &id)
{
    return stream << id.value();
}

template<typename Tag>
std::ostream &operator<<(std::ostream &stream, const NumberId<Tag> &id)
{
    return stream << id.value();
}

/** An entry host, that is, one node of the system. */
using HostId = TextId<struct HostIdTag>;
using RegionId = TextId<struct RegionIdTag>;
using FailureDomainId = TextId<struct FailureDomainIdTag>;
using TeamId = TextId<struct TeamIdTag>;
using UpstreamId = TextId<struct UpstreamIdTag>;
/** A pool of upstreams as the platform names it. */
using PoolId = TextId<struct PoolIdTag>;
using WorkClassId = TextId<struct WorkClassIdTag>;
using ModelId = TextId<struct ModelIdTag>;
using RequestId = TextId<struct RequestIdTag>;
using GenerationId = TextId<struct GenerationIdTag>;
/** Random id of one record in the log; the same in every copy of the record. */
using RecordId = TextId<struct RecordIdTag>;
using StreamName = TextId<struct StreamNameTag>;
/** Changes whenever an upstream process starts anew. */
using BootId = TextId<struct BootIdTag>;

/** Position of a record in a log stream. The first record has offset 1, so 0 means "none". */
using Offset = NumberId<struct OffsetTag>;
/** Number of a process start on a host; higher is newer. */
using Incarnation = NumberId<struct IncarnationTag>;
/** Log offset of the lease record that authorises an order. */
using FencingNumber = NumberId<struct FencingNumberTag>;
/** Position of a token within a generation, from 0. */
using TokenOffset = NumberId<struct TokenOffsetTag>;
using TokenCount = NumberId<struct TokenCountTag>;
/** Number of times that the platform's store was restored from an older copy. Offsets of different eras can't be compared. */
using StoreEra = NumberId<struct StoreEraTag>;
using ByteCount = NumberId<struct ByteCountTag>;
/** Blocks of an engine's KV memory. */
using BlockCount = NumberId<struct BlockCountTag>;

}

template<typename Tag>
struct std::hash<Lovageward::TextId<Tag>>
{
    std::size_t operator()(const Lovageward::TextId<Tag> &id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};

template<typename Tag>
struct std::hash<Lovageward::NumberId<Tag>>
{
    std::size_t operator()(const Lovageward::NumberId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.value());
    }
};
