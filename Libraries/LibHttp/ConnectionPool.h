#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/ClientSession.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Lovageward {

/**
 * Idle connections to upstreams, by address. Middleboxes forget idle connections without a sign, so none is used after 30 s idle. Thread-safe;
 * its mutex is a leaf lock and held for no I/O that can block.
 */
class ConnectionPool
{
public:
    explicit ConnectionPool(const Clock &clock, Duration maximumIdle = seconds(30), std::size_t maximumPerAddress = 64)
        : clock(clock), maximumIdle(maximumIdle), maximumPerAddress(maximumPerAddress)
    {
    }

    /** A usable idle connection, or null. */
    std::unique_ptr<ClientSession> take(const std::string &address);

    /** Opens a new connection. Throws Error(UpstreamUnavailable, NotRun) if that fails. */
    std::unique_ptr<ClientSession> connect(const std::string &address, TimePoint deadline) const;

    /** Keeps a connection whose last answer was read completely. */
    void giveBack(const std::string &address, std::unique_ptr<ClientSession> connection);

    /** Closes the idle connections to an address, because one of them was silent or carried a wrong answer. */
    void drop(const std::string &address);

    std::size_t idleCount() const;

private:
    struct Idle
    {
        std::unique_ptr<ClientSession> connection;
        TimePoint closeAt;
    };

    /** Moves expired connections of all addresses to the list, so that the caller closes them without the lock. */
    void collectExpired(TimePoint now, std::vector<Idle> &expired);

    const Clock &clock;
    Duration maximumIdle;
    std::size_t maximumPerAddress;
    mutable std::mutex mutex;
    std::map<std::string, std::vector<Idle>> idle;
    TimePoint nextCollection;
};

}
