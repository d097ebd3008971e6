#pragma once

#include <LibCore/Clock.h>

#include <string>

namespace Lovageward {

struct SimpleAnswer
{
    int status = 0;
    std::string body;
};

/**
 * One HTTP exchange on a connection of its own, for the rare calls of the control plane.
 * `address` is "IP:port". Throws Poco::Exception if the exchange fails or the deadline passes.
 */
SimpleAnswer
exchange(const Clock &clock, const std::string &address, const std::string &method, const std::string &path, const std::string &body, TimePoint deadline);

}
