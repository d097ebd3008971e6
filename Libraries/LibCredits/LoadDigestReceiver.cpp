#include <LibCore/Error.h>
#include <LibCredits/LoadDigest.h>
#include <LibCredits/LoadDigestReceiver.h>

#include <algorithm>

namespace Lovageward {

LoadDigestReceiver::LoadDigestReceiver(const Clock &clock, const Membership &membership, UpstreamTable &table, std::uint64_t run)
    : clock(clock), membership(membership), table(table), run(run)
{
}

std::string LoadDigestReceiver::handle(const PeerMessage &message)
{
    auto members = this->membership.liveMembers();
    if (std::none_of(members.begin(), members.end(), [&message](const auto &member) { return member.host == message.sender; })) {
        throw Error(ResultCode::Forbidden, RunState::NotRun, "a digest from " + message.sender.value() + ", which isn't live");
    }
    auto digest = decodeLoadDigest(message.payload);
    auto now = this->clock.now();
    auto isTaken = digest.receiverRun == this->run;
    for (auto &entry : digest.entries) {
        if (isTaken) {
            entry.report.measuredAt = std::min(entry.report.measuredAt, now);
            this->table.applyReport(entry.upstream, entry.report);
        }
    }
    return encodeDigestAnswer({ this->run, now, isTaken });
}

}
