#include <LibHttp/HttpEngineStream.h>

#include <LibCore/Error.h>

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
    , body(*this->response.connection, this->response.head)
    , reader(maximumLineBytes, maximumEventBytes)
    , decoder(generation, from)
{
}

HttpEngineStream::~HttpEngineStream()
{
    if (!this->hasEnded || !this->body.isDelimited() || !this->response.head.getKeepAlive()) {
        return;
    }
    std::string rest;
    auto status = this->body.readSome(rest, this->clock.now() + bodyEndLimit);
    if (status == ReadStatus::Ended && rest.empty()) {
        this->exchange.connections().giveBack(this->address, std::move(this->response.connection));
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
    switch (this->body.readSome(bytes, deadline)) {
    case ReadStatus::Ready:
        this->reader.append(bytes);
        return;
    case ReadStatus::TimedOut:
        throw Error(ResultCode::UpstreamSilent, RunState::Unknown, this->address + " sent nothing until the deadline");
    case ReadStatus::Malformed:
    case ReadStatus::TooLarge:
        this->exchange.rejectMismatch(this->address, "the stream of " + this->address + " is malformed");
    case ReadStatus::Ended:
    case ReadStatus::Truncated:
        throw Error(ResultCode::UpstreamConnectionLost, RunState::Unknown, this->address + " ended the stream without an end marker");
    }
}

}
