#pragma once

#include <LibCore/Clock.h>
#include <LibCredits/LoadProbe.h>

namespace Lovageward {

/** Reads the load report of engines and plain services over HTTP (`GET /load`). */
class HttpLoadProbe final : public LoadProbe
{
public:
    explicit HttpLoadProbe(const Clock &clock);

    LoadReport probe(const std::string &address, TimePoint deadline) override;

private:
    LoadReport parse(const std::string &body, TimePoint sentAt) const;
    Duration ageOf(std::int64_t reportedAtMilliseconds) const;

    const Clock &clock;
};

}
