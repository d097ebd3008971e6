#pragma once

#include <LibCore/Ids.h>

#include <string>

namespace Lovageward {

/** One generation on one engine, and for whom it runs. */
struct GenerationTarget
{
    UpstreamId upstream;
    /** "IP:port". */
    std::string address;
    RequestId request;
    GenerationId generation;
    TeamId team;
    WorkClassId workClass;
};

}
