#include <LibMembership/RendezvousHash.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace Lovageward;

namespace {

std::vector<HostId> hosts(std::size_t count)
{
    std::vector<HostId> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.emplace_back("entry-" + std::to_string(index));
    }
    return result;
}

}

TEST_CASE("Scores never change between versions, or else nodes of two versions would disagree about owners", "[membership]")
{
    CHECK(RendezvousHash::score(HostId("entry-0"), "cold/tailor-llm-1") == 10329048416636820308U);
}

TEST_CASE("A host that leaves moves only its own keys", "[membership]")
{
    auto all = hosts(9);
    auto fewer = hosts(8);
    RendezvousHash before(all);
    RendezvousHash after(fewer);
    std::map<std::size_t, int> owned;
    for (int key = 0; key < 4500; ++key) {
        auto name = std::to_string(key);
        auto first = before.first(name);
        ++owned[first];
        CHECK(before.best(name, 3).front() == first);
        if (first != 8) {
            CHECK(after.first(name) == first);
        }
    }
    for (const auto &[host, count] : owned) {
        // 500 keys are expected; five standard deviations are about 105.
        CHECK(count > 395);
        CHECK(count < 605);
    }
}
