#pragma once

#include <LibPolicy/UpstreamState.h>

namespace Lovageward {

/** Receives the results of this node's own LoadPoller. Called from several threads. */
class LoadReportListener
{
public:
    virtual ~LoadReportListener() = default;

    /** The upstream answered a poll. */
    virtual void loadReported(const UpstreamId &upstream, const LoadReport &report) = 0;

    /** The connection to the upstream failed, or the upstream didn't answer a poll in time. */
    virtual void upstreamUnreachable(const UpstreamId &upstream) = 0;

    /** This node no longer polls the upstream, so another node may have newer load reports. */
    virtual void pollingStopped(const UpstreamId &upstream) = 0;
};

}
