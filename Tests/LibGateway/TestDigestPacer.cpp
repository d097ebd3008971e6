#include <LibCore/ManualClock.h>
#include <LibGateway/DigestPacer.h>
#include <LibGateway/PeerDigest.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

constexpr std::size_t peers = 50;

struct PacerWorld
{
    PacerWorld()
    {
        this->clock.advance(minutes(1));
    }

    DueDigests due(bool speaks = false)
    {
        return this->pacer.due(this->clock.now(), peers, speaks);
    }

    ManualClock clock;
    DigestPacer pacer;
};

}

TEST_CASE("News of freshness are told at once by a node that speaks for others, and by no other node")
{
    PacerWorld world;
    CHECK(world.due(true).state);
    world.clock.advance(milliseconds(250));
    CHECK_FALSE(world.due(true).freshness);
    world.pacer.freshnessChanged();
    CHECK_FALSE(world.due(false).freshness);
    CHECK(world.pacer.next(true) <= world.clock.now());
    CHECK(world.due(true).freshness);
    // Those of a second reader wait a little.
    world.pacer.freshnessChanged();
    CHECK_FALSE(world.due(true).freshness);
    CHECK(world.pacer.next(true) == world.clock.now() + milliseconds(250));
}

TEST_CASE("Changes of load are told soon, and the seldomer the larger the group")
{
    for (std::size_t group : { std::size_t(5), std::size_t(12), std::size_t(16), peers }) {
        ManualClock clock;
        clock.advance(minutes(1));
        DigestPacer pacer;
        pacer.due(clock.now(), group, false);
        std::size_t datagrams = 0;
        for (int tick = 0; tick < 10'000; ++tick) {
            pacer.loadChanged();
            auto due = pacer.due(clock.now(), group, false);
            datagrams += due.state || due.changes ? group : 0;
            clock.advance(milliseconds(1));
        }
        // 10 s: a change each 25 us times the cube of the group, and at most 40 whole states.
        auto size = static_cast<double>(group);
        CHECK(static_cast<double>(datagrams) <= 10'000.0 / (0.025 * size * size) + 41 * size);
        CHECK(datagrams >= group * 3);
    }
}

TEST_CASE("A change that was told with the whole state isn't told again")
{
    PacerWorld world;
    world.pacer.loadChanged();
    CHECK(world.due().state);
    world.clock.advance(milliseconds(3126));
    CHECK_FALSE(world.due().changes);
    world.pacer.loadChanged();
    CHECK(world.due().changes);
    CHECK_FALSE(world.due().changes);
}

TEST_CASE("The group hears of a node at an interval that grows with its size, and of one that speaks for others every 300 ms")
{
    for (auto speaks : { false, true }) {
        PacerWorld world;
        CHECK(world.due(speaks).state);
        auto next = world.pacer.next(speaks);
        CHECK(next == world.clock.now() + (speaks ? Duration(milliseconds(300)) : digestInterval(peers)));
        world.clock.advance(next - world.clock.now());
        auto due = world.due(speaks);
        CHECK((speaks ? due.freshness : due.state));
    }
}
