#include <LibHttp/RequestLimits.h>

#include <fmt/format.h>

namespace Lovageward {

RequestSizeLimits requestLimits(const CallerServerSettings &settings)
{
    return RequestSizeLimits { settings.maximumHeaderBytes, settings.maximumHeaderFields, settings.maximumBodyBytes };
}

void rejectChunkedRequest(const RequestHead &head)
{
    if (head.fields.has("Transfer-Encoding")) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, "chunked requests are not accepted; send Content-Length");
    }
}

Error slowSenderRefusal(const CallerServerSettings &settings)
{
    auto limit = std::chrono::duration_cast<milliseconds>(settings.slowSenderTimeout).count();
    return Error(ResultCode::RequestTooSlow, RunState::NotRun, fmt::format("the request did not arrive within {} ms", limit));
}

}
