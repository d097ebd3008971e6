#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/HostList.h>

#include <string>

namespace Lovageward {

/** Host list of the platform over HTTP (`GET /hosts`). */
class HttpHostList final : public HostList
{
public:
    /** `address` is the platform's "IP:port". */
    HttpHostList(const Clock &clock, std::string address);

    std::vector<ListedHost> fetch(TimePoint deadline) override;

private:
    const Clock &clock;
    std::string address;
};

/** Host list in a file, for a node that runs without a platform. The file is read again at each call. */
class FileHostList final : public HostList
{
public:
    /** An empty path gives an empty list. */
    explicit FileHostList(std::string path);

    std::vector<ListedHost> fetch(TimePoint deadline) override;

private:
    std::string path;
};

}
