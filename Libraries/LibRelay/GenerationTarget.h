#pragma once

#include <LibCore/Ids.h>

#include <string>

namespace Lovageward {

/** A generation on an engine, with the request, team and work class that it runs for. */
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
