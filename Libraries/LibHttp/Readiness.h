#pragma once

#include <LibCore/ResultCode.h>

#include <string>

namespace Lovageward {

/** Whether this node may take new work, and the reason if not. */
struct ReadinessReport
{
    bool isReady = true;
    /** NodeStarting or NodeIsolated while the node isn't ready. */
    ResultCode code = ResultCode::Ok;
    std::string message;
};

/** Knows whether the node can serve. Safe to call from several threads; must not block. */
class Readiness
{
public:
    virtual ~Readiness() = default;
    virtual ReadinessReport report() const = 0;
};

}
