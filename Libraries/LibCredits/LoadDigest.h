#pragma once

#include <LibPolicy/UpstreamState.h>

#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Load report of one upstream, as its owner sends it to the nodes that use the upstream. */
struct LoadDigestEntry
{
    UpstreamId upstream;
    LoadReport report;
};

/** Content of a LoadDigest message. */
struct LoadDigest
{
    /** Instance number of the receiver process to whose clock `sentAt` refers; 0 if the sender doesn't know that clock yet. */
    std::uint64_t receiverInstance = 0;
    /** Time at which the message was encoded, by the receiver's monotonic clock. */
    TimePoint sentAt;
    std::vector<LoadDigestEntry> entries;
};

/** Answer to a LoadDigest message. */
struct LoadDigestAnswer
{
    /** Instance number of the receiver process. */
    std::uint64_t receiverInstance = 0;
    /** Time at which the digest was received, by the receiver's monotonic clock. */
    TimePoint receiverTime;
    /** False if the digest's time refers to no clock or to that of an earlier process of the receiver. */
    bool isAccepted = false;
};

/** Maximum number of entries in one message. */
inline constexpr std::size_t maximumDigestEntries = 500;

/**
 * Shortens a boot id to 8 hexadecimal digits, so that an entry takes about 30 bytes. The result depends only on the boot id,
 * and an id that is already short stays as it is.
 */
BootId shortenBootId(const BootId &bootId);

/** Encodes each load report with its age at `now` by the sender's clock, because clocks differ between nodes. */
std::string encodeLoadDigest(const LoadDigest &digest, TimePoint now);

/** Computes the measurement times of the reports by the receiver's clock. Throws Error(MalformedMessage). */
LoadDigest decodeLoadDigest(std::string_view encoded);

std::string encodeDigestAnswer(const LoadDigestAnswer &answer);

/** Throws Error(MalformedMessage). */
LoadDigestAnswer decodeDigestAnswer(std::string_view encoded);

}
