#include <LibClaims/ClaimRecords.h>

#include <msgpack.hpp>

#include <tuple>

namespace Lovageward {

namespace {

constexpr int ownershipKind = 1;
constexpr int batchKind = 2;

// The first element of a record is its kind, ownershipKind or batchKind.
using WireOwnership = std::tuple<int, std::string, std::string, std::uint64_t>;
using WireClaim = std::tuple<std::string, std::int64_t, std::string, std::string, std::int64_t>;
using WireResult = std::tuple<std::string, std::string, int, std::string, bool>;
using WireRelease = std::tuple<std::string, std::string, bool>;
using WireBatch = std::tuple<int, std::uint64_t, std::uint64_t, std::vector<WireResult>, std::vector<WireRelease>, std::vector<WireClaim>>;

std::int64_t inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::int64_t inSeconds(LogTime time)
{
    return std::chrono::duration_cast<seconds>(time.time_since_epoch()).count();
}

WireBatch toWire(const ClaimBatch &batch)
{
    WireBatch wire(batchKind, batch.epoch.value(), batch.sequence, {}, {}, {});
    for (const auto &result : batch.results) {
        std::get<3>(wire).emplace_back(result.key, result.attempt.value(), result.status, result.body, result.isTooLarge);
    }
    for (const auto &release : batch.releases) {
        std::get<4>(wire).emplace_back(release.key, release.attempt.value(), release.isByRunner);
    }
    for (const auto &claim : batch.claims) {
        std::get<5>(wire).emplace_back(claim.key, inSeconds(claim.keyTime), claim.requestHash, claim.attempt.value(), inMilliseconds(claim.budget));
    }
    return wire;
}

ClaimBatch fromWire(WireBatch &&wire)
{
    auto &[kind, epoch, sequence, results, releases, claims] = wire;
    ClaimBatch batch { Offset(epoch), sequence, {}, {}, {} };
    for (auto &[key, attempt, status, body, isTooLarge] : results) {
        batch.results.push_back(Result { std::move(key), AttemptId(attempt), status, std::move(body), isTooLarge });
    }
    for (auto &[key, attempt, isByRunner] : releases) {
        batch.releases.push_back(Release { std::move(key), AttemptId(attempt), isByRunner });
    }
    for (auto &[key, keyTime, hash, attempt, budget] : claims) {
        batch.claims.push_back(Claim { std::move(key), LogTime(seconds(keyTime)), std::move(hash), AttemptId(attempt), milliseconds(budget) });
    }
    return batch;
}

template<typename Wire>
std::string packed(const Wire &wire)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return { buffer.data(), buffer.size() };
}

std::optional<ClaimRecord> decode(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
        return std::nullopt;
    }
    // msgpack fills missing elements of a short array with defaults, so the length is checked.
    auto length = object.via.array.size;
    auto kind = object.via.array.ptr[0].as<int>();
    if (kind == ownershipKind && length == std::tuple_size_v<WireOwnership>) {
        auto [tag, id, host, incarnation] = object.as<WireOwnership>();
        return Ownership { RecordId(id), HostId(host), Incarnation(incarnation) };
    }
    if (kind == batchKind && length == std::tuple_size_v<WireBatch>) {
        return fromWire(object.as<WireBatch>());
    }
    return std::nullopt;
}

}

std::string encodeClaimRecord(const ClaimRecord &record)
{
    if (const auto *ownership = std::get_if<Ownership>(&record)) {
        return packed(WireOwnership(ownershipKind, ownership->id.value(), ownership->host.value(), ownership->incarnation.value()));
    }
    return packed(toWire(std::get<ClaimBatch>(record)));
}

std::optional<ClaimRecord> decodeClaimRecord(const std::string &payload)
{
    try {
        auto handle = msgpack::unpack(payload.data(), payload.size());
        return decode(handle.get());
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

}
