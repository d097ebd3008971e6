#include "Crowd.h"
#include "NodeProcess.h"
#include "Scripts.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>
#include <thread>

using namespace Lovageward::Clients;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against clients outside our control that end or block a node of the product's own interface. The bound is the memory that docs/CAPACITY.md grants a
// node; the number of connections is lowered where the case needs more of them than are served.

namespace {

constexpr std::size_t nodeMemoryBytes = 128'000'000;
constexpr std::size_t largestNodeBody = 1'048'576;
/** Descriptors of a node that serves 1,000 connections, each with one to an upstream, and its queue. */
constexpr std::size_t nodeDescriptors = 4'096;
constexpr auto noProgress = seconds(1);
constexpr auto patience = seconds(25);
constexpr auto sendingTime = seconds(4);

ClientScript nodeBodyScript(std::size_t withheldBytes, std::size_t bytesPerWrite = 0)
{
    auto head = fmt::format("POST /v1/services/lookup HTTP/1.1\r\nHost: node\r\nContent-Length: {}\r\n\r\n", largestNodeBody);
    return { head, plainBody(largestNodeBody), 1, withheldBytes, bytesPerWrite };
}

void checkNode(const NodeProcess &node, Crowd &crowd)
{
    auto check = [&node] {
        CHECK(node.isOrdinaryRequestServed(patience));
        CHECK(node.isOperatorAnswered(patience));
        CHECK(node.process().isAlive());
    };
    auto sender = std::async(std::launch::async, [&] { crowd.send(milliseconds(1), noProgress, sendingTime); });
    std::this_thread::sleep_for(noProgress);
    check();
    sender.get();
    check();
    WARN(fmt::format("peak memory {} bytes, unread bytes {}, open descriptors {}",
                     node.process().peakMemoryBytes(),
                     node.process().peakUnreadBytes(),
                     node.process().openDescriptors()));
    CHECK(node.process().peakMemoryBytes() <= nodeMemoryBytes);
    CHECK(node.process().openDescriptors() <= nodeDescriptors);
}

}

TEST_CASE("Bodies a byte short at a node stay within its memory")
{
    NodeProcess node({});
    Crowd crowd(node.ip(), nodeCallerPort);
    crowd.add(200, nodeBodyScript(1), 4);
    checkNode(node, crowd);
}

TEST_CASE("Bodies sent a byte at a time leave room for an ordinary caller of a node")
{
    NodeProcess node({ "--max-connections", "64" });
    Crowd crowd(node.ip(), nodeCallerPort);
    crowd.add(400, nodeBodyScript(0, 1), 4);
    checkNode(node, crowd);
}

TEST_CASE("Connections left idle leave room for an ordinary caller of a node")
{
    NodeProcess node({ "--max-connections", "64" });
    Crowd crowd(node.ip(), nodeCallerPort);
    crowd.add(400, ClientScript());
    checkNode(node, crowd);
}

TEST_CASE("Responses of a node that are not read stay within its memory")
{
    NodeProcess node({ "--max-connections", "64" });
    Crowd crowd(node.ip(), nodeCallerPort);
    crowd.add(100, { "GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n", nullptr, 5'000 });
    checkNode(node, crowd);
}

TEST_CASE("Bodies of very many JSON values at once stay within the memory of a node")
{
    // Both forms are valid JSON. One object or number takes up a hundred or twenty times its length once it is parsed.
    auto element = GENERATE(as<std::string>(), "{\"a\":1}", "1");
    NodeProcess node({});
    std::string elements = element;
    while (elements.size() + element.size() + 100 < largestNodeBody) {
        elements += "," + element;
    }
    auto body = std::make_shared<const std::string>(R"({"model":"lookup","prompt":"a","x":[)" + elements + "]}");
    auto head = fmt::format("POST /v1/completions HTTP/1.1\r\nHost: node\r\n{}Content-Length: {}\r\n\r\n", node.authorization(), body->size());
    Crowd crowd(node.ip(), nodeCallerPort);
    crowd.add(20, { head, body, 1 }, 4);
    checkNode(node, crowd);
}

TEST_CASE("Idle and unfinished connections at the administration API leave room for an operator")
{
    auto text = GENERATE(as<std::string>(), "", "G");
    NodeProcess node({});
    Crowd crowd(node.ip(), nodeAdministrationPort);
    crowd.add(200, { text, nullptr, 1 });
    checkNode(node, crowd);
}

TEST_CASE("Clients of all kinds on all addresses of a node leave room for ordinary ones")
{
    NodeProcess node({ "--max-connections", "64" });
    Crowd administration(node.ip(), nodeAdministrationPort);
    administration.add(100, ClientScript());
    administration.add(100, { "G", nullptr, 1 }, 10);
    administration.send(milliseconds(1), noProgress, sendingTime);
    Crowd callers(node.ip(), nodeCallerPort);
    callers.add(100, ClientScript());
    callers.add(100, nodeBodyScript(1));
    callers.add(100, nodeBodyScript(0, 1));
    checkNode(node, callers);
}
