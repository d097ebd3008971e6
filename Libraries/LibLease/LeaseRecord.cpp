#include <LibLease/LeaseRecord.h>

#include <msgpack.hpp>

#include <cstdint>
#include <tuple>

namespace Lovageward {

namespace {

// Version, record id, name, host, incarnation, basedOn, base expiry (ms), renewal, term (ms).
using WireRecord = std::tuple<int, std::string, std::string, std::string, std::uint64_t, std::uint64_t, std::int64_t, bool, std::int64_t>;

constexpr int wireVersion = 1;

}

std::string encodeLeaseRecord(const LeaseRecord &record)
{
    auto term = std::chrono::duration_cast<milliseconds>(record.term).count();
    WireRecord wire(wireVersion,
                    record.id.value(),
                    record.name.value(),
                    record.owner.host.value(),
                    record.owner.incarnation.value(),
                    record.basedOn.value(),
                    toMilliseconds(record.baseExpiry),
                    record.isRenewal,
                    term);
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return { buffer.data(), buffer.size() };
}

std::optional<LeaseRecord> decodeLeaseRecord(const std::string &payload)
{
    try {
        auto handle = msgpack::unpack(payload.data(), payload.size());
        // msgpack fills missing elements of a short array with defaults, so the length is checked.
        if (handle.get().type != msgpack::type::ARRAY || handle.get().via.array.size != std::tuple_size_v<WireRecord>) {
            return std::nullopt;
        }
        auto [version, id, name, host, incarnation, basedOn, baseExpiry, isRenewal, term] = handle.get().as<WireRecord>();
        if (version != wireVersion || term < 0) {
            return std::nullopt;
        }
        LeaseOwner owner { HostId(host), Incarnation(incarnation) };
        auto expiry = fromMilliseconds<LogTime>(baseExpiry);
        return LeaseRecord { RecordId(id), LeaseName(name), owner, Offset(basedOn), expiry, isRenewal, milliseconds(term) };
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

}
