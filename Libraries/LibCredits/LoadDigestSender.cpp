#include <LibCore/Error.h>
#include <LibCredits/LoadDigestSender.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

LoadDigestSender::LoadDigestSender(
    const Clock &clock, PeerTransport &transport, ParallelRunner &runner, LogSink &sink, Counters &counters, HostId self, std::uint64_t run, Duration timeout)
    : clock(clock)
    , transport(transport)
    , runner(runner)
    , logger(sink, "load")
    , failures(counters.counter("lovageward_digests_failed_total"))
    , self(std::move(self))
    , run(run)
    , timeout(timeout)
{
}

void LoadDigestSender::send(const std::vector<LoadDigestEntry> &entries, const std::vector<Member> &users)
{
    if (entries.empty()) {
        return;
    }
    this->runner.runAll(users.size(), [this, &entries, &users](auto index) { this->sendTo(entries, users[index]); });
}

void LoadDigestSender::sendTo(const std::vector<LoadDigestEntry> &entries, const Member &user)
{
    try {
        for (std::size_t start = 0; start < entries.size(); start += maximumDigestEntries) {
            auto end = std::min(entries.size(), start + maximumDigestEntries);
            std::vector<LoadDigestEntry> part(entries.begin() + static_cast<std::ptrdiff_t>(start), entries.begin() + static_cast<std::ptrdiff_t>(end));
            auto now = this->clock.now();
            this->transport.request(
                user.peerAddress, { PeerMessageKind::LoadDigest, this->self, encodeLoadDigest({ this->run, now, std::move(part) }) }, now + this->timeout);
        }
    } catch (const Error &error) {
        this->failures.add();
        this->logger.debug("no digest to {}: {}", user.host.value(), error.what());
    }
}

}
