#include <LibCore/SeededRandom.h>
#include <LibLease/LeaseTable.h>

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <map>

using namespace Lovageward;

namespace {

constexpr LogTime start = LogTime(seconds(1'790'000'000));
constexpr Duration term = seconds(15);

LeaseRecord recordOf(const std::string &host, Offset basedOn, LogTime baseExpiry, bool isRenewal, Duration length = term)
{
    return LeaseRecord { RecordId("r"), LeaseName("orders/p"), LeaseOwner { HostId(host), Incarnation(1) }, basedOn, baseExpiry, isRenewal, length };
}

}

TEST_CASE("A lease is taken over only after its expiry and on its newest record", "[lease]")
{
    struct Row
    {
        const char *guardsAgainst;
        const char *host;
        std::uint64_t basedOn;
        Duration after;
        bool isAccepted;
    };
    auto row = GENERATE(values<Row>({
        { "losing a lease that is renewed in time", "a", 1, seconds(10), true },
        { "losing a lease that nobody else took", "a", 1, seconds(20), true },
        { "two holders at a time", "b", 1, term - milliseconds(1), false },
        { "a lease that stays with a dead holder", "b", 1, term, true },
        { "a late append that takes the lease back", "a", 7, seconds(20), false },
        { "a writer that doesn't know the last holder", "b", 0, seconds(20), false },
        { "a name that is blocked once its lease is forgotten", "b", 0, term + leaseForgottenAfter, true },
        { "a late append after the lease is forgotten", "b", 1, term + leaseForgottenAfter, false },
    }));
    CAPTURE(row.guardsAgainst);
    LeaseTable table;
    REQUIRE(table.apply(Offset(1), start, recordOf("a", Offset(), LogTime(), false)));
    auto at = start + row.after;
    CHECK(table.apply(Offset(9), at, recordOf(row.host, Offset(row.basedOn), start + term, row.host == std::string("a"))) == row.isAccepted);
}

TEST_CASE("The next holder knows when its predecessor's lease ended, over its own renewals", "[lease]")
{
    LeaseTable table;
    table.apply(Offset(1), start, recordOf("a", Offset(), LogTime(), false));
    auto taken = start + seconds(20);
    REQUIRE(table.apply(Offset(2), taken, recordOf("b", Offset(1), start + term, false)));
    REQUIRE(table.apply(Offset(3), taken + seconds(5), recordOf("b", Offset(2), taken + term, true)));
    auto lease = table.find(LeaseName("orders/p"), taken + seconds(5));
    REQUIRE(lease);
    CHECK(lease->predecessorExpiry == start + term);
    CHECK(lease->offset == Offset(3));
}

TEST_CASE("A term beyond the maximum is refused, since readers don't go back that far", "[lease]")
{
    LeaseTable table;
    CHECK_FALSE(table.apply(Offset(1), start, recordOf("a", Offset(), LogTime(), false, maximumLeaseTerm + milliseconds(1))));
}

TEST_CASE("Lease records survive the wire and malformed ones are ignored", "[lease]")
{
    auto record = recordOf("a", Offset(3), start, true);
    auto decoded = decodeLeaseRecord(encodeLeaseRecord(record));
    REQUIRE(decoded);
    CHECK(decoded->owner == record.owner);
    CHECK(decoded->basedOn == record.basedOn);
    CHECK(decoded->baseExpiry == record.baseExpiry);
    CHECK((decoded->isRenewal && decoded->term == term));
    for (const std::string payload : { "", "\xc1", "\x90", "\x91\x01" }) {
        CHECK_FALSE(decodeLeaseRecord(payload));
    }
}

TEST_CASE("A reader that starts within the stream judges like one that read everything", "[lease][random]")
{
    // Writers as LeaseHolder makes them: they cite the state at some earlier offset, so their records may be outdated.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SeededRandom random(seed);
        struct Stored
        {
            LogTime at;
            LeaseRecord record;
            bool isAccepted;
        };
        std::vector<Stored> stream;
        LeaseTable whole;
        LeaseRecord late;
        auto at = start;
        for (std::uint64_t offset = 1; offset <= 600; ++offset) {
            at += Duration(random.below(random.below(40) == 0 ? 150'000'000 : 8'000'000));
            auto host = fmt::format("n{}", random.below(3));
            auto current = whole.find(LeaseName("orders/p"), at);
            auto record = recordOf(host, Offset(), LogTime(), false, seconds(5 + random.below(40)));
            if (current) {
                record = recordOf(host, current->offset, current->expiry, current->owner.host == HostId(host), record.term);
            }
            if (random.below(10) == 0) {
                std::swap(record, late);
            }
            stream.push_back(Stored { at, record, whole.apply(Offset(offset), at, record) });
        }
        auto from = random.below(300);
        LeaseTable partial;
        for (auto index = from; index < stream.size(); ++index) {
            const auto &stored = stream[index];
            auto isAccepted = partial.apply(Offset(index + 1), stored.at, stored.record);
            if (stored.at >= stream[from].at + leaseReadSpan) {
                INFO("seed " << seed << ", start " << from << ", record " << index);
                REQUIRE(isAccepted == stored.isAccepted);
            }
        }
    }
}
