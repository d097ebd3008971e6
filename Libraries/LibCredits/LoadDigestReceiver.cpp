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
    for (const auto &entry : decodeLoadDigest(message.payload, this->clock.now())) {
        this->table.applyReport(entry.upstream, entry.report);
    }
    MessageWriter writer;
    writer.array(0);
    return writer.encoded();
}

}
