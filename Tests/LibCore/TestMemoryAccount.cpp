#include <LibCore/ManualClock.h>
#include <LibCore/MemoryAccount.h>
#include <LibCore/MinimumDataRate.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

class FakeHolder final : public MemoryHolder
{
public:
    bool requestRelease(ClientWait /*wait*/) override
    {
        ++this->requests;
        return !this->hasStopped;
    }

    int requests = 0;
    /** Whether the holder waits no longer when it is asked. */
    bool hasStopped = false;
};

struct AccountFixture
{
    ManualClock clock;
    MemoryAccount account { clock, MemoryLimits { 1000, 10, milliseconds(250) } };
    FakeHolder first;
    FakeHolder second;
    FakeHolder third;
};

}

TEST_CASE_METHOD(AccountFixture, "Reservations never exceed the limit of the account, so that large bodies at once can't exhaust the memory", "[core]")
{
    auto client = this->account.addClient(this->first);
    int granted = 0;
    for (int step = 0; step < 100; ++step) {
        granted += this->account.tryReserve(client, MemoryPurpose::Body, 64) ? 1 : 0;
    }
    CHECK(granted == 990 / 64);
    CHECK(this->account.usedBytes() == 10 + static_cast<std::uint64_t>(granted) * 64);
    CHECK(this->account.refusedReservations() == static_cast<std::uint64_t>(100 - granted));
}

TEST_CASE_METHOD(AccountFixture, "A removed client leaves nothing reserved, so that closed connections don't use up the account", "[core]")
{
    auto client = this->account.addClient(this->first);
    REQUIRE(this->account.tryReserve(client, MemoryPurpose::Body, 500));
    this->account.release(client, MemoryPurpose::Body, 200);
    CHECK(this->account.usedBytes(MemoryPurpose::Body) == 300);
    this->account.removeClient(client);
    this->account.removeClient(client);
    CHECK(this->account.usedBytes() == 0);
    CHECK_FALSE(this->account.tryReserve(client, MemoryPurpose::Body, 1));
}

TEST_CASE_METHOD(AccountFixture, "Memory that no client holds alone counts towards the same limit", "[core]")
{
    REQUIRE(this->account.tryReserveShared(MemoryPurpose::Response, 990));
    auto client = this->account.addClient(this->first);
    CHECK_FALSE(this->account.tryReserve(client, MemoryPurpose::Body, 1));
    CHECK_FALSE(this->account.tryReserveShared(MemoryPurpose::Response, 1));
    this->account.releaseShared(MemoryPurpose::Response, 990);
    CHECK(this->account.tryReserve(client, MemoryPurpose::Body, 990));
}

TEST_CASE_METHOD(AccountFixture, "Headroom keeps memory for bodies that have begun, so that some of them end", "[core]")
{
    auto begun = this->account.addClient(this->first);
    auto starting = this->account.addClient(this->second);
    REQUIRE(this->account.tryReserve(begun, MemoryPurpose::Body, 500, 400));
    CHECK_FALSE(this->account.tryReserve(starting, MemoryPurpose::Body, 100, 400));
    CHECK(this->account.tryReserve(begun, MemoryPurpose::Body, 400));
}

TEST_CASE_METHOD(AccountFixture, "The largest client that keeps the node waiting is asked to give up, not one that sends", "[core]")
{
    auto sending = this->account.addClient(this->first);
    auto stopped = this->account.addClient(this->second);
    auto smaller = this->account.addClient(this->third);
    REQUIRE(this->account.tryReserve(sending, MemoryPurpose::Body, 500));
    REQUIRE(this->account.tryReserve(stopped, MemoryPurpose::Body, 300));
    REQUIRE(this->account.tryReserve(smaller, MemoryPurpose::Body, 100));
    this->account.beginWait(smaller, ClientWait::Receiving);
    this->account.beginWait(stopped, ClientWait::Receiving);
    CHECK_FALSE(this->account.tryReserve(sending, MemoryPurpose::Body, 200));
    CHECK(this->second.requests == 0);
    this->clock.advance(milliseconds(250));
    CHECK_FALSE(this->account.tryReserve(sending, MemoryPurpose::Body, 200));
    CHECK(this->second.requests == 1);
    CHECK(this->third.requests == 0);
    // No further client is asked until the first has given up.
    CHECK_FALSE(this->account.tryReserve(sending, MemoryPurpose::Body, 200));
    CHECK(this->third.requests == 0);
    this->account.removeClient(stopped);
    CHECK(this->account.tryReserve(sending, MemoryPurpose::Body, 200));
    CHECK(this->first.requests == 0);
}

TEST_CASE_METHOD(AccountFixture, "Of clients that hold the same, the one that has waited longest is asked first", "[core]")
{
    auto later = this->account.addClient(this->first);
    auto earlier = this->account.addClient(this->second);
    REQUIRE(this->account.tryReserve(later, MemoryPurpose::Body, 400));
    REQUIRE(this->account.tryReserve(earlier, MemoryPurpose::Body, 400));
    this->account.beginWait(earlier, ClientWait::Receiving);
    this->clock.advance(milliseconds(100));
    this->account.beginWait(later, ClientWait::Receiving);
    this->clock.advance(seconds(1));
    CHECK_FALSE(this->account.tryReserveShared(MemoryPurpose::Response, 400));
    CHECK(this->second.requests == 1);
    CHECK(this->first.requests == 0);
}

TEST_CASE_METHOD(AccountFixture, "The longest idle connection gives its place to a new one, a busy one never does", "[core]")
{
    auto busy = this->account.addClient(this->first);
    auto idle = this->account.addClient(this->second);
    CHECK_FALSE(this->account.makePlace(ListenerId()));
    this->account.beginWait(busy, ClientWait::Receiving);
    this->account.beginWait(idle, ClientWait::Idle);
    this->clock.advance(milliseconds(249));
    CHECK_FALSE(this->account.makePlace(ListenerId()));
    this->clock.advance(milliseconds(1));
    CHECK(this->account.makePlace(ListenerId()));
    CHECK(this->second.requests == 1);
    CHECK_FALSE(this->account.makePlace(ListenerId()));
    CHECK(this->first.requests == 0);
}

TEST_CASE("A body sent a byte at a time is too slow, one with pauses inside the window isn't", "[core]")
{
    ManualClock clock;
    MinimumDataRate slow({ 100, seconds(5) }, clock.now());
    MinimumDataRate pausing({ 100, seconds(5) }, clock.now());
    for (int second = 1; second <= 60; ++second) {
        clock.advance(seconds(1));
        slow.countBytes(99, clock.now());
        if (second % 4 == 0) {
            pausing.countBytes(600, clock.now());
        }
        CAPTURE(second);
        CHECK_FALSE(pausing.isTooSlow(clock.now()));
        if (second <= 5) {
            CHECK(slow.isTooSlow(clock.now()) == (second == 5));
        }
    }
}

// Guards against requests that are lost in a burst: the connection that had been idle for longest was closed although its next request had arrived.
TEST_CASE_METHOD(AccountFixture, "If the longest idle connection waits no longer, the next one is asked to close", "[core]")
{
    for (auto *holder : { &this->first, &this->second, &this->third }) {
        this->account.beginWait(this->account.addClient(*holder), ClientWait::Idle);
        this->clock.advance(milliseconds(300));
    }
    this->first.hasStopped = true;
    CHECK(this->account.makePlace(ListenerId()));
    CHECK(this->first.requests == 1);
    CHECK(this->second.requests == 1);
    CHECK(this->third.requests == 0);
    CHECK(this->account.releaseRequests() == 1);

    this->third.hasStopped = true;
    CHECK_FALSE(this->account.makePlace(ListenerId()));
    CHECK(this->first.requests == 2);
    CHECK(this->second.requests == 1);
    CHECK(this->third.requests == 1);
    CHECK(this->account.releaseRequests() == 1);
}

// Guards against clients that keep a probe from being answered: the connection that is closed for a new one belongs to whoever has most of them.
TEST_CASE_METHOD(AccountFixture, "The place for a new connection comes from the address with the most connections, also if one of another is older", "[core]")
{
    auto listener = this->account.addListener({ 5, milliseconds(0), milliseconds(0) });
    this->account.beginWait(this->account.addClient(this->first, { listener, "192.0.2.1" }), ClientWait::Receiving);
    this->clock.advance(seconds(1));
    this->account.beginWait(this->account.addClient(this->second, { listener, "192.0.2.2" }), ClientWait::Receiving);
    this->account.beginWait(this->account.addClient(this->third, { listener, "192.0.2.2" }), ClientWait::Idle);
    CHECK(this->account.usedBytes() == 15);
    CHECK(this->account.makePlace(ListenerId()) == std::nullopt);
    CHECK(this->account.makePlace(listener) == ClientWait::Receiving);
    CHECK(this->second.requests == 1);
    // Both addresses have one connection left, so the older one goes.
    CHECK(this->account.makePlace(listener) == ClientWait::Receiving);
    CHECK(this->first.requests == 1);
    CHECK(this->third.requests == 0);
}

TEST_CASE_METHOD(AccountFixture, "A request that arrives in many pieces keeps its place only for the time that its address grants", "[core]")
{
    auto listener = this->account.addListener({ 5, milliseconds(250), seconds(2) });
    auto client = this->account.addClient(this->first, { listener, "192.0.2.1" });
    for (int piece = 0; piece < 4; ++piece) {
        this->account.beginWait(client, ClientWait::Receiving);
        CHECK_FALSE(this->account.makePlace(listener));
        this->clock.advance(milliseconds(500));
        this->account.endWait(client);
        CHECK_FALSE(this->account.makePlace(listener));
    }
    // Another request starts anew.
    this->account.endStage(client);
    this->account.beginWait(client, ClientWait::Receiving);
    CHECK_FALSE(this->account.makePlace(listener));
    this->clock.advance(seconds(2));
    CHECK(this->account.makePlace(listener) == ClientWait::Receiving);
}

TEST_CASE("Bodies leave a part of the account to all other purposes, so that small requests are served beside large ones", "[core]")
{
    ManualClock clock;
    MemoryAccount account(clock, MemoryLimits { 1000, 0, milliseconds(250), 200 });
    FakeHolder holder;
    auto client = account.addClient(holder);
    CHECK_FALSE(account.tryReserve(client, MemoryPurpose::Body, 801));
    CHECK(account.tryReserve(client, MemoryPurpose::Body, 800));
    CHECK_FALSE(account.tryReserve(client, MemoryPurpose::Body, 1));
    CHECK(account.tryReserve(client, MemoryPurpose::Response, 100));
    CHECK(account.tryReserveShared(MemoryPurpose::Event, 100));
    CHECK_FALSE(account.isExhausted());
    account.chargeShared(MemoryPurpose::ReceiveBuffer, 1);
    CHECK(account.isExhausted());
    account.removeClient(client);
    CHECK(account.usedBytes() == 101);
    CHECK(account.usedBytes(MemoryPurpose::Response) == 0);
}
