#pragma once

#include <LibCore/Clock.h>

#include <Poco/Net/StreamSocketImpl.h>

namespace Lovageward {

/**
 * Connection whose sends and receives all end at one deadline. POCO's own timeouts start anew with each call, so an answer that arrives byte by
 * byte never meets them. Used by one thread at a time.
 */
class DeadlineSocket final : public Poco::Net::StreamSocketImpl
{
public:
    explicit DeadlineSocket(const Clock &clock) : clock(clock)
    {
    }

    void setDeadline(TimePoint deadline)
    {
        this->deadline = deadline;
    }

    /** Both throw Poco::TimeoutException once the deadline has passed, and a Poco::Net::NetException if the connection broke. */
    int sendBytes(const void *buffer, int length, int flags) override;
    int receiveBytes(void *buffer, int length, int flags) override;

protected:
    /** The last reference to the socket destroys it. */
    ~DeadlineSocket() override = default;

private:
    /** Time left. Throws Poco::TimeoutException if there is none. */
    Poco::Timespan remaining() const;

    const Clock &clock;
    TimePoint deadline;
};

}
