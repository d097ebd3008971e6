#pragma once

#include <LibCore/Ids.h>

namespace Lovageward {

/** A process that has announced its shutdown in a response. The store may list the shutdown later or not at all. */
struct UpstreamShutdownNotice
{
    UpstreamId upstream;
    BootId boot;

    bool operator==(const UpstreamShutdownNotice &) const = default;
};

}
