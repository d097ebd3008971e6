#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/EngineEventDecoder.h>
#include <LibHttp/UpstreamExchange.h>
#include <LibRelay/EngineClient.h>
#include <LibRelay/SseReader.h>

#include <string>

namespace Lovageward {

/** One HTTP response that carries a generation's events. */
class HttpEngineStream final : public EngineStream
{
public:
    HttpEngineStream(
        const Clock &clock, UpstreamExchange &exchange, std::string address, const GenerationId &generation, TokenOffset from, UpstreamResponse response);

    /** Keeps the connection for further calls if the response was read to its end. */
    ~HttpEngineStream() override;

    HttpEngineStream(const HttpEngineStream &) = delete;
    HttpEngineStream &operator=(const HttpEngineStream &) = delete;

    EngineEvent next(TimePoint deadline) override;

private:
    EngineEvent decode(const SseEvent &received);
    void receive(TimePoint deadline);

    const Clock &clock;
    UpstreamExchange &exchange;
    std::string address;
    UpstreamResponse response;
    SseReader reader;
    EngineEventDecoder decoder;
    bool hasEnded = false;
};

}
