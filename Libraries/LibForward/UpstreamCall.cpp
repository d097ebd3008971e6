#include <LibForward/UpstreamCall.h>

#include <LibCore/Error.h>
#include <LibForward/HttpHeads.h>

namespace Lovageward {

namespace {

/** Longest head of an answer. */
constexpr std::size_t longestHead = 65536;

/** Interim answers such as 100 Continue precede the final one. */
constexpr int firstFinalStatus = 200;

}

UpstreamCall::UpstreamCall(const Clock &clock, const std::string &address, const std::string &method, TimePoint connectDeadline)
    : method(method), channel(SocketChannel::connect(clock, address, connectDeadline))
{
}

void UpstreamCall::send(std::string_view bytes, TimePoint deadline)
{
    if (!this->channel.write(bytes, deadline)) {
        this->advance();
    }
}

UpstreamCall::State UpstreamCall::advance()
{
    while (this->current == State::AwaitsHead || this->current == State::Receiving) {
        switch (this->channel.receive()) {
        case SocketChannel::Received::Data:
            this->decode();
            break;
        case SocketChannel::Received::Nothing:
            return this->current;
        case SocketChannel::Received::End:
            if (this->decoder && this->decoder->end() == BodyDecoder::State::Complete) {
                this->current = State::Complete;
            } else {
                this->fail("the connection ended within the answer");
            }
            break;
        case SocketChannel::Received::Reset:
            this->fail("the connection was reset");
            break;
        }
    }
    return this->current;
}

void UpstreamCall::decode()
{
    try {
        while (!this->decoder) {
            if (!this->takeAnswerHead()) {
                return;
            }
        }
    } catch (const Error &error) {
        this->fail(error.what());
        return;
    }
    switch (this->decoder->decode(this->channel.buffer(), this->received)) {
    case BodyDecoder::State::NeedsMore:
        this->current = State::Receiving;
        break;
    case BodyDecoder::State::Complete:
        this->current = State::Complete;
        break;
    case BodyDecoder::State::Malformed:
        this->fail("the body is malformed");
        break;
    }
}

bool UpstreamCall::takeAnswerHead()
{
    auto head = takeHead(this->channel.buffer());
    if (!head) {
        if (this->channel.buffer().size() > longestHead) {
            this->fail("the head is too long");
        }
        return false;
    }
    auto parsed = parseAnswerHead(*head);
    if (static_cast<int>(parsed.getStatus()) < firstFinalStatus) {
        return true;
    }
    auto bounds = answerBody(parsed, this->method);
    this->answer = std::move(parsed);
    this->decoder.emplace(bounds.framing, bounds.length);
    return true;
}

void UpstreamCall::cancel()
{
    this->channel.abort();
    if (this->current != State::Complete) {
        this->fail("the call was cancelled");
    }
}

void UpstreamCall::fail(const std::string &reason)
{
    this->failure = reason;
    this->current = State::Broken;
}

}
