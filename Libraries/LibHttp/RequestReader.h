#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/CallerServerSettings.h>
#include <LibHttp/HttpConnection.h>

#include <Poco/Net/HTTPRequest.h>

#include <string>

namespace Lovageward {

/** A complete request of a caller. */
struct CallerRequest
{
    Poco::Net::HTTPRequest head;
    std::string body;
    TimePoint arrivedAt;

    /** Value of a header, or an empty text. */
    std::string header(const std::string &name) const
    {
        return this->head.get(name, std::string());
    }
};

/** Reads requests within the limits of the settings. */
class RequestReader
{
public:
    RequestReader(const Clock &clock, const CallerServerSettings &settings) : clock(clock), settings(settings)
    {
    }

    /**
     * Reads one request whose first byte has arrived. Returns false if the caller went away meanwhile.
     * Throws Error with NotRun: HeadersTooLarge, BodyTooLarge, RequestTooSlow or BadRequest; the connection can't be used again then.
     */
    bool read(HttpConnection &connection, CallerRequest &request) const;

private:
    bool readHead(HttpConnection &connection, CallerRequest &request, TimePoint deadline) const;
    bool readBody(HttpConnection &connection, CallerRequest &request, TimePoint deadline) const;
    std::size_t bodyLength(const CallerRequest &request) const;

    const Clock &clock;
    const CallerServerSettings &settings;
};

}
