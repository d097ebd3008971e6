#pragma once

#include <LibHttp1/BodyDecoder.h>
#include <LibHttp1/MessageHead.h>

#include <cstdint>
#include <string_view>

namespace Lovageward {

/** Framing of a message body. */
struct MessageFraming
{
    BodyFraming type = BodyFraming::None;
    /** Body length in bytes; set with BodyFraming::ContentLength only. */
    std::uint64_t length = 0;
};

/** Throws Error(BadRequest) if the framing is ambiguous or not supported. */
MessageFraming requestFraming(const RequestHead &head);

/** Throws Error(AnswerMismatch) if the framing is ambiguous or not supported. */
MessageFraming responseFraming(const ResponseHead &head, std::string_view requestMethod);

}
