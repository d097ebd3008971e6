#include <LibCore/Error.h>
#include <LibCredits/LoadDigest.h>
#include <LibCredits/LoadDigestReceiver.h>

#include <algorithm>

namespace Lovageward {

LoadDigestReceiver::LoadDigestReceiver(const Clock &clock, const Membership &membership, UpstreamTable &table, std::uint64_t instance)
    : clock(clock), membership(membership), table(table), instance(instance)
{
}

std::string LoadDigestReceiver::handle(const PeerMessage &message)
{
    auto members = this->membership.liveMembers();
    if (std::none_of(members.begin(), members.end(), [&message](const auto &member) { return member.host == message.sender; })) {
        throw Error(ResultCode::Forbidden, RunState::NotRun, "load digest from " + message.sender.value() + ", which is not a live member");
    }
    auto digest = decodeLoadDigest(message.payload);
    auto now = this->clock.now();
    auto isAccepted = digest.receiverInstance == this->instance;
    for (auto &entry : digest.entries) {
        if (isAccepted) {
            entry.report.measuredAt = std::min(entry.report.measuredAt, now);
            this->table.applyReport(entry.upstream, entry.report);
        }
    }
    return encodeDigestAnswer({ this->instance, now, isAccepted });
}

}
