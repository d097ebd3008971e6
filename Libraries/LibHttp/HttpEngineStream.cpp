#include <LibHttp/HttpEngineStream.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>

#include <utility>

namespace Lovageward {

namespace {

constexpr std::size_t maximumLineBytes = 262'144;
constexpr std::size_t maximumEventBytes = 524'288;
// The end of the chunked body follows the end marker at once; waiting longer for it costs more than a new connection.
constexpr Duration bodyEndLimit = milliseconds(20);

}

HttpEngineStream::HttpEngineStream(
    const Clock &clock, UpstreamExchange &exchange, std::string address, const GenerationId &generation, TokenOffset from, UpstreamResponse response)
    : clock(clock)
    , exchange(exchange)
    , address(std::move(address))
    , response(std::move(response))
    , reader(maximumLineBytes, maximumEventBytes)
    , decoder(generation, from)
{
}

HttpEngineStream::~HttpEngineStream()
{
    if (!this->hasEnded || !this->response.isReusable()) {
        return;
    }
    try {
        std::string rest;
        if (!this->response.connection->readSome(rest, this->clock.now() + bodyEndLimit)) {
            this->exchange.connections().giveBack(this->address, std::move(this->response.connection));
        }
    } catch (const Poco::Exception &) {
        // A connection without the end of its body can't carry another call.
        return;
    }
}

EngineEvent HttpEngineStream::next(TimePoint deadline)
{
    while (true) {
        if (auto received = this->reader.next()) {
            return this->decode(*received);
        }
        this->receive(deadline);
    }
}

EngineEvent HttpEngineStream::decode(const SseEvent &received)
{
    auto event = this->decoder.decode(received);
    this->hasEnded = event.kind == EngineEvent::Kind::End;
    return event;
}

void HttpEngineStream::receive(TimePoint deadline)
{
    std::string bytes;
    try {
        if (this->response.connection->readSome(bytes, deadline)) {
            this->reader.append(bytes);
            return;
        }
    } catch (const Poco::TimeoutException &) {
        throw Error(ResultCode::UpstreamSilent, RunState::Unknown, this->address + " sent nothing until the deadline");
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::UpstreamConnectionLost, RunState::Unknown, "the stream of " + this->address + " broke: " + error.displayText());
    }
    throw Error(ResultCode::UpstreamConnectionLost, RunState::Unknown, this->address + " ended the stream without an end marker");
}

}
