#pragma once

#include <LibCore/Time.h>
#include <LibHttp1/MessageHead.h>

#include <string>

namespace Lovageward {

/** A complete request of a caller. */
struct CallerRequest
{
    RequestHead head;
    std::string body;
    TimePoint arrivedAt;

    /** Value of a header, or an empty text. */
    std::string header(const std::string &name) const
    {
        return this->head.fields.get(name);
    }
};

}
