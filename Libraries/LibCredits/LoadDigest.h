#pragma once

#include <LibPolicy/UpstreamState.h>

#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Load of one upstream as its owner tells it to the nodes that use it. */
struct LoadDigestEntry
{
    UpstreamId upstream;
    LoadReport report;
};

/** Greatest number of entries in one message. */
inline constexpr std::size_t maximumDigestEntries = 500;

/** Boot id of 8 hexadecimal digits that stands for a longer one, so that an entry takes about 30 bytes. Stable. */
BootId shortBootId(const BootId &bootId);

/** Encodes the entries with the age of each report instead of its time, because clocks differ between nodes. */
std::string encodeLoadDigest(const std::vector<LoadDigestEntry> &entries, TimePoint now);

/** Throws Error(MalformedMessage). */
std::vector<LoadDigestEntry> decodeLoadDigest(std::string_view encoded, TimePoint now);

}
