#include <LibCore/Error.h>
#include <LibCredits/LoadDigestSender.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

LoadDigestSender::LoadDigestSender(
    const Clock &clock, PeerTransport &transport, ParallelRunner &runner, LogSink &sink, Counters &counters, HostId self, Duration timeout)
    : clock(clock)
    , transport(transport)
    , runner(runner)
    , logger(sink, "load")
    , failures(counters.counter("lovageward_digests_failed_total"))
    , self(std::move(self))
    , timeout(timeout)
{
}

void LoadDigestSender::send(const std::vector<LoadDigestEntry> &entries, const std::vector<Member> &users)
{
    this->forgetOthers(users);
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
            if (!this->sendOnce(part, user)) {
                this->sendOnce(part, user);
            }
        }
    } catch (const Error &error) {
        this->failures.add();
        this->logger.debug("no digest to {}: {}", user.host.value(), error.what());
    }
}

bool LoadDigestSender::sendOnce(const std::vector<LoadDigestEntry> &entries, const Member &user)
{
    ReceiverClock receiver;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        receiver = this->receivers[user.host];
    }
    auto now = this->clock.now();
    // The answer took some time, so this is at most the receiver's present time, and reports seem older rather than younger.
    auto sentAt = receiver.receiverTime + (now - receiver.answeredAt);
    auto payload = encodeLoadDigest({ receiver.run, sentAt, entries }, now);
    auto answer = decodeDigestAnswer(this->transport.request(user.peerAddress, { PeerMessageKind::LoadDigest, this->self, payload }, now + this->timeout));
    std::lock_guard<std::mutex> guard(this->mutex);
    this->receivers[user.host] = { answer.receiverRun, answer.receiverTime, this->clock.now() };
    return answer.isTaken;
}

void LoadDigestSender::forgetOthers(const std::vector<Member> &users)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::erase_if(this->receivers, [&users](const auto &item) {
        return std::none_of(users.begin(), users.end(), [&item](const auto &user) { return user.host == item.first; });
    });
}

}
