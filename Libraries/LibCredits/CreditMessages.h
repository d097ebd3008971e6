#pragma once

#include <LibCredits/CreditLedger.h>

#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Maximum number of credits that one message requests, and that each of its lists contains. */
inline constexpr std::size_t maximumCreditsPerMessage = 256;

/** Request of a node for credits on a cold upstream. */
struct CreditRequestMessage
{
    UpstreamId upstream;
    std::uint32_t count = 0;
};

/** Answer to a credit request; without credits if nothing is granted. */
struct CreditGrantMessage
{
    /** Lifetime of the granted credits, counted by the requester from the time at which it sent the request. */
    Duration lifetime = Duration(0);
    /** Time after which the requester should send another request. */
    Duration retryAfter = Duration(0);
    std::vector<CreditId> credits;
};

/** Usage report of a node about credits that it was granted. */
struct CreditReturnMessage
{
    UpstreamId upstream;
    /** Credits that were used for work that has started. */
    std::vector<CreditId> started;
    /** Credits whose work has ended. */
    std::vector<CreditId> ended;
    /** Credits that will not be used. */
    std::vector<CreditId> unused;
};

std::string encodeCreditRequest(const CreditRequestMessage &message);
std::string encodeCreditGrant(const CreditGrantMessage &message);
std::string encodeCreditReturn(const CreditReturnMessage &message);

/** The decoding functions throw Error(MalformedMessage). */
CreditRequestMessage decodeCreditRequest(std::string_view encoded);
CreditGrantMessage decodeCreditGrant(std::string_view encoded);
CreditReturnMessage decodeCreditReturn(std::string_view encoded);

}
