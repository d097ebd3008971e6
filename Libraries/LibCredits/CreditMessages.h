#pragma once

#include <LibCredits/CreditLedger.h>

#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Greatest number of credits that one message names. */
inline constexpr std::size_t maximumCreditsPerMessage = 256;

struct CreditRequestMessage
{
    UpstreamId upstream;
    std::uint32_t count = 0;
};

struct CreditGrantMessage
{
    /** Lifetime of the granted credits, counted by the requester from the time at which it sent the request. */
    Duration lifetime = Duration(0);
    /** Time after which another request makes sense. */
    Duration retryAfter = Duration(0);
    std::vector<CreditId> credits;
};

struct CreditReturnMessage
{
    UpstreamId upstream;
    /** Credits that were used for work which has begun. */
    std::vector<CreditId> started;
    /** Credits whose work has ended. */
    std::vector<CreditId> ended;
    /** Credits that will not be used. */
    std::vector<CreditId> unused;
};

std::string encodeCreditRequest(const CreditRequestMessage &message);
std::string encodeCreditGrant(const CreditGrantMessage &message);
std::string encodeCreditReturn(const CreditReturnMessage &message);

/** These throw Error(MalformedMessage). */
CreditRequestMessage decodeCreditRequest(std::string_view encoded);
CreditGrantMessage decodeCreditGrant(std::string_view encoded);
CreditReturnMessage decodeCreditReturn(std::string_view encoded);

}
