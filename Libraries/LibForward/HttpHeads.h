#pragma once

#include <LibForward/BodyDecoder.h>
#include <LibGateway/ForwardedRequest.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/MessageHeader.h>

#include <optional>
#include <string>

namespace Lovageward {

/** Removes a complete message head, including its empty line, from the front of the received bytes. Returns nothing if the head is incomplete. */
std::optional<std::string> extractHead(std::string &received);

/** Throws Error(BadRequest) for bytes that aren't an HTTP/1.x request head. */
Poco::Net::HTTPRequest parseRequestHead(const std::string &head);

/** Throws Error(AnswerMismatch) for bytes that aren't an HTTP/1.x response head with a status from 100 to 599 other than 101. */
Poco::Net::HTTPResponse parseResponseHead(const std::string &head);

/** Framing of a message body. */
struct MessageFraming
{
    BodyFraming type = BodyFraming::None;
    /** Body length in bytes; set with BodyFraming::ContentLength only. */
    std::uint64_t length = 0;
};

/** Throws Error(BadRequest) if the framing is ambiguous or not supported. */
MessageFraming requestFraming(const Poco::Net::HTTPRequest &head);

/** Throws Error(AnswerMismatch) if the framing is ambiguous or not supported. */
MessageFraming responseFraming(const Poco::Net::HTTPResponse &head, const std::string &requestMethod);

/** True for hop-by-hop fields, including those that the head's Connection field lists. */
bool isHopByHopField(const Poco::Net::MessageHeader &head, const std::string &name);

/** Response fields that are forwarded to the caller: all except hop-by-hop fields and Content-Length, which the node sets itself. */
HeaderFields forwardedFields(const Poco::Net::HTTPResponse &head);

}
