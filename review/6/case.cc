// A header field whose value is an encoded word (RFC 2047) that holds a line break and a whole request.
#include "StandIns.hh"

using namespace Review;

namespace {

constexpr int requests = 6;

int play(const CaseRun &run)
{
    Record record(run.folder + "/record.txt");
    auto ip = freeAddress();
    Store store(ip);
    Runner runner(ip, "i-7f3a91c2", record, 20);
    store.start();
    runner.start();
    store.put("keyed.op", "config", config());
    store.put("keyed.servers", runner.id, runner.entry(service, zone));
    Gateway gateway(run.root, run.temporary, ip, store.address(), Site());
    if (!gateway.awaitReady()) {
        record.write("the gateway did not become ready");
        return couldNotRun;
    }
    std::set<std::string> sent;
    int answered = 0;
    for (int number = 0; number < requests; ++number) {
        auto id = "a" + std::to_string(number) + "00000000000000";
        auto hidden = "note\r\nContent-Length: 0\r\n\r\nPOST /book/hidden HTTP/1.1\r\nHost: " + std::string(host) + "\r\nX-Request-Attempt: b"
            + std::to_string(number) + "00000000000000\r\nX-Tenant: tenant-b\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
        auto note = run.hasTrouble ? "=?utf-8?B?" + base64(hidden) + "?=" : std::string("by the window");
        std::string body = "chair=1&at=08:00";
        auto request = requestHead("POST /book/" + std::to_string(number), id) + "X-Note: " + note + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        auto connection = gateway.connect();
        if (!connection || !connection->send(request)) {
            record.write("could not send " + id);
            return couldNotRun;
        }
        sent.insert(id);
        record.write("requester of tenant-a sends '" + printable(request) + "'");
        auto response = readMessage(*connection, 5000, true);
        record.write("requester receives for " + id + " " + (response ? "'" + response->firstLine + "'" : std::string("no answer")));
        answered += response ? 1 : 0;
        sleepMs(300);
    }
    int broken = 0;
    for (const auto &entry : runner.runs()) {
        if (!sent.contains(entry.id)) {
            record.write("UNASKED: the runner ran " + entry.id + " of " + entry.tenant + ", which no requester sent");
            ++broken;
        } else if (entry.tenant != "tenant-a") {
            record.write("UNASKED: the runner ran " + entry.id + " for '" + entry.tenant + "'");
            ++broken;
        }
    }
    record.write("sent " + std::to_string(sent.size()) + ", answered " + std::to_string(answered) + ", runs " + std::to_string(runner.runs().size())
                 + ", of them unasked " + std::to_string(broken));
    if (!run.hasTrouble && answered < requests) {
        return couldNotRun;
    }
    return broken > 0 ? ruleBroken : ruleHeld;
}

}

int main(int count, char **arguments)
{
    int result = couldNotRun;
    try {
        CaseRun run(count, arguments);
        result = play(run);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::fflush(nullptr);
    std::_Exit(result);
}
