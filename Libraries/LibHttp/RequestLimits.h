#pragma once

#include <LibCore/Error.h>
#include <LibHttp/CallerServerSettings.h>
#include <LibHttp/ServerSession.h>

namespace Lovageward {

RequestSizeLimits requestLimits(const CallerServerSettings &settings);

/** Throws Error(BadRequest) for a request in chunks, whose size can't be judged before it has arrived. */
void rejectChunkedRequest(const RequestHead &head);

/** The refusal of a request that didn't arrive in time. */
Error slowSenderRefusal(const CallerServerSettings &settings);

}
