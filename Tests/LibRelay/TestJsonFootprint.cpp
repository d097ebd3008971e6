#include <LibRelay/JsonFootprint.h>

#include <Support/ResidentMemory.h>

#include <Poco/JSON/Parser.h>
#include <catch2/catch.hpp>

#include <vector>

using namespace Lovageward;

TEST_CASE("Values are counted outside of strings only", "[relay]")
{
    CHECK(measureJson("").values == 0);
    CHECK(measureJson(R"({"a":[1,2]})").values == 4);
    CHECK(measureJson(R"("{[,:\"{[,:")").values == 0);
    CHECK(measureJson(R"("\\",{)").values == 2);
    CHECK(measureJson("\"unfinished \\").values == 0);
}

// Guards against a body of legal size whose parsed form exhausts the memory of a node.
TEST_CASE("The estimate covers the memory of the parsed form", "[relay]")
{
    auto element = GENERATE(as<std::string>(), R"({"a":1})", "1", R"("text")", "[]", "{}", R"({"role":"user","content":"a short message"})");
    CAPTURE(element);
    std::string text = "[" + element;
    while (text.size() < 300'000) {
        text += "," + element;
    }
    text += "]";
    auto before = residentBytes();
    constexpr std::size_t copies = 4;
    std::vector<Poco::Dynamic::Var> parsed(copies);
    for (auto &copy : parsed) {
        copy = Poco::JSON::Parser().parse(text);
    }
    auto after = residentBytes();
    CHECK(after - std::min(after, before) <= copies * measureJson(text).bytes);
}
