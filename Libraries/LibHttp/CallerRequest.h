#pragma once

#include <LibCore/Time.h>

#include <Poco/Net/HTTPRequest.h>

#include <string>

namespace Lovageward {

/** A complete request of a caller. */
struct CallerRequest
{
    const Poco::Net::HTTPRequest &head;
    std::string body;
    TimePoint arrivedAt;

    /** Value of a header, or an empty text. */
    std::string header(const std::string &name) const
    {
        return this->head.get(name, std::string());
    }
};

}
