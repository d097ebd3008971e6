#pragma once

#include <LibCore/Error.h>
#include <LibHttp/CallerServerSettings.h>

#include <Poco/Net/HTTPRequest.h>

namespace Lovageward {

/**
 * Throws Error with NotRun if the head is too large (HeadersTooLarge) or the body is too long (BodyTooLarge) or of unknown length (BadRequest).
 * Returns the length of the body in bytes.
 */
std::size_t checkRequestHead(const Poco::Net::HTTPRequest &head, const CallerServerSettings &settings);

/** The refusal of a request whose head POCO could not parse. */
Error headRefusal(const Poco::Exception &error);

/** The refusal of a request that did not arrive within the slow sender timeout. */
Error slowSenderRefusal(const CallerServerSettings &settings);

}
