#pragma once

#include <LibForward/UpstreamDialer.h>

#include <Poco/Net/HTTPResponse.h>

#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** A whole answer of an upstream. */
struct WholeAnswer
{
    Poco::Net::HTTPResponse head;
    std::string body;
};

/** Forwards requests whose answers are passed on as a whole. Repeats only what is idempotent or certainly did not run. */
class PlainForwarder
{
public:
    explicit PlainForwarder(const ForwardParts &parts) : parts(parts), dialer(parts)
    {
    }

    /** The answer for the caller. Throws CallerGone, or Error with what is known of the run. */
    WholeAnswer forward(const AdmittedWork &work, CallerChannel &caller) const;

private:
    enum class Ending {
        Answered,
        NotRun,
        Broken,
        TimedOut,
    };

    /** As the log says it. */
    static std::string_view endingName(Ending ending);

    Ending await(const AdmittedWork &work, OpenedRun &run, TimePoint attemptDeadline, CallerChannel &caller) const;
    Ending judge(const AdmittedWork &work, const OpenedRun &run) const;
    TimePoint attemptDeadline(const AdmittedWork &work, const AttemptState &attempts) const;
    bool mayRepeat(const AdmittedWork &work, const AttemptState &attempts) const;

    const ForwardParts &parts;
    UpstreamDialer dialer;
};

}
