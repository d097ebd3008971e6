#pragma once

#include <LibGateway/PeerDigest.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <vector>

namespace Lovageward {

/** Appends an age in milliseconds to a digest; a longer one than `maximumAge` is clamped. */
void writeAge(MessageWriter &writer, Duration age, Duration maximumAge);

/** Each of the functions that read throws Error(MalformedMessage). */
Duration readAge(MessageReader &reader, Duration maximumAge);

/** Appends reports on upstreams to a digest, up to the limit of each kind. */
void writeLeavingUpstreams(MessageWriter &writer, const std::vector<UpstreamShutdownNotice> &leaves);
void writeRateLimits(MessageWriter &writer, const std::vector<UpstreamRateLimitReport> &reports);
void writeSuspectedParts(MessageWriter &writer, const std::vector<PromptPartReport> &reports);
/** A slowness of zero stands for none. */
void writeSpeedReports(MessageWriter &writer, const std::vector<UpstreamSpeedReport> &reports);

std::vector<UpstreamShutdownNotice> readLeavingUpstreams(MessageReader &reader);
std::vector<UpstreamRateLimitReport> readRateLimits(MessageReader &reader);
std::vector<PromptPartReport> readSuspectedParts(MessageReader &reader);
std::vector<UpstreamSpeedReport> readSpeedReports(MessageReader &reader);

}
