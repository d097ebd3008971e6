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

void LoadDigestSender::send(const std::vector<LoadDigestEntry> &entries, const std::vector<Member> &receivers)
{
    this->forgetOtherReceivers(receivers);
    if (entries.empty()) {
        return;
    }
    this->runner.runAll(receivers.size(), [this, &entries, &receivers](auto index) { this->sendTo(entries, receivers[index]); });
}

void LoadDigestSender::sendTo(const std::vector<LoadDigestEntry> &entries, const Member &receiver)
{
    try {
        for (std::size_t start = 0; start < entries.size(); start += maximumDigestEntries) {
            auto end = std::min(entries.size(), start + maximumDigestEntries);
            std::vector<LoadDigestEntry> part(entries.begin() + static_cast<std::ptrdiff_t>(start), entries.begin() + static_cast<std::ptrdiff_t>(end));
            if (!this->sendOnce(part, receiver)) {
                this->sendOnce(part, receiver);
            }
        }
    } catch (const Error &error) {
        this->failures.add();
        this->logger.debug("sending a load digest to {} failed: {}", receiver.host.value(), error.what());
    }
}

bool LoadDigestSender::sendOnce(const std::vector<LoadDigestEntry> &entries, const Member &receiver)
{
    ReceiverClock receiverClock;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        receiverClock = this->receiverClocks[receiver.host];
    }
    auto now = this->clock.now();
    // The answer was on its way for some time, so this is at most the receiver's current time. Reports may appear older than
    // they are, but never younger.
    auto sentAt = receiverClock.receiverTime + (now - receiverClock.answeredAt);
    auto payload = encodeLoadDigest({ receiverClock.instance, sentAt, entries }, now);
    auto answer = decodeDigestAnswer(this->transport.request(receiver.peerAddress, { PeerMessageKind::LoadDigest, this->self, payload }, now + this->timeout));
    std::lock_guard<std::mutex> guard(this->mutex);
    this->receiverClocks[receiver.host] = { answer.receiverInstance, answer.receiverTime, this->clock.now() };
    return answer.isAccepted;
}

void LoadDigestSender::forgetOtherReceivers(const std::vector<Member> &receivers)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::erase_if(this->receiverClocks, [&receivers](const auto &item) {
        return std::none_of(receivers.begin(), receivers.end(), [&item](const auto &receiver) { return receiver.host == item.first; });
    });
}

}
