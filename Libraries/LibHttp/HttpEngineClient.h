#pragma once

#include <LibHttp/UpstreamExchange.h>
#include <LibRelay/EngineClient.h>

namespace Lovageward {

/** EngineClient over HTTP (docs/design.md, section 7). Streams refer to the client, so it must outlive them. */
class HttpEngineClient final : public EngineClient
{
public:
    HttpEngineClient(const Clock &clock, Counters &counters) : clock(clock), exchange(clock, counters)
    {
    }

    std::unique_ptr<EngineStream> start(const std::string &address, const GenerationRequest &request, TimePoint deadline) override;
    std::unique_ptr<EngineStream> resume(const std::string &address, const GenerationId &generation, TokenOffset from, TimePoint deadline) override;
    void cancel(const std::string &address, const GenerationId &generation, TimePoint deadline) override;

private:
    std::unique_ptr<EngineStream> openStream(const std::string &address, const GenerationId &generation, TokenOffset from, UpstreamResponse response);
    /** Throws the error that a status other than 200 stands for. */
    [[noreturn]] void rejectStatus(const std::string &address, UpstreamResponse &response, TimePoint deadline);

    const Clock &clock;
    UpstreamExchange exchange;
};

}
