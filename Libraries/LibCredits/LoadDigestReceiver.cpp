#include <LibCore/Error.h>
#include <LibCredits/LoadDigest.h>
#include <LibCredits/LoadDigestReceiver.h>
#include <LibPeer/MessageWriter.h>

#include <algorithm>

namespace Lovageward {

LoadDigestReceiver::LoadDigestReceiver(const Clock &clock, const Membership &membership, UpstreamTable &table)
    : clock(clock), membership(membership), table(table)
{
}

std::string LoadDigestReceiver::handle(const PeerMessage &message)
{
    auto members = this->membership.liveMembers();
    if (std::none_of(members.begin(), members.end(), [&message](const auto &member) { return member.host == message.sender; })) {
        throw Error(ResultCode::Forbidden, RunState::NotRun, "a digest from " + message.sender.value() + ", which isn't live");
    }
    auto digest = decodeLoadDigest(message.payload);
    auto sentAt = this->localTimeOf(message.sender, digest);
    for (auto &entry : digest.entries) {
        entry.report.measuredAt = sentAt - (digest.sentAt - entry.report.measuredAt);
        this->table.applyReport(entry.upstream, entry.report);
    }
    MessageWriter writer;
    writer.array(0);
    return writer.encoded();
}

TimePoint LoadDigestReceiver::localTimeOf(const HostId &sender, const LoadDigest &digest)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    constexpr std::size_t maximumSenders = 1024;
    if (this->estimators.size() >= maximumSenders && !this->estimators.contains(sender)) {
        // Replaced hosts leave estimators behind; a new estimate costs one message.
        this->estimators.clear();
    }
    auto now = this->clock.now();
    return now - this->estimators[sender].delayOf(digest.senderRun, digest.sentAt, now);
}

}
