#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace Lovageward {

/** Reports contain rate limits in thousandths. */
inline constexpr double rateLimitScale = 1000;

/** Largest rate limit in requests per second that reports contain. No upstream comes near it. */
inline constexpr double maximumRateLimit = 1'000'000;

/** Clamps and rounds a rate limit in requests per second to the range of reports, so that a report isn't taken for a change of the limit that it repeats. */
inline double roundRateLimit(double requestsPerSecond)
{
    return std::round(std::min(requestsPerSecond, maximumRateLimit) * rateLimitScale) / rateLimitScale;
}

/** What the newest response of an upstream process said of its rate limit, as nodes report it to each other. */
struct UpstreamRateLimitReport
{
    UpstreamId upstream;
    BootId boot;
    /** Requests per second that the process accepts from all nodes together; nullopt if its limit has ended. */
    std::optional<double> requestsPerSecond;
    /** Time since the response arrived at the node that received it. */
    Duration age = Duration(0);

    bool operator==(const UpstreamRateLimitReport &) const = default;
};

}
