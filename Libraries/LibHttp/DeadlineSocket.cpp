#include <LibHttp/DeadlineSocket.h>

#include <Poco/Exception.h>

namespace Lovageward {

int DeadlineSocket::sendBytes(const void *buffer, int length, int flags)
{
    this->setSendTimeout(this->remaining());
    return StreamSocketImpl::sendBytes(buffer, length, flags);
}

int DeadlineSocket::receiveBytes(void *buffer, int length, int flags)
{
    this->setReceiveTimeout(this->remaining());
    return StreamSocketImpl::receiveBytes(buffer, length, flags);
}

Poco::Timespan DeadlineSocket::remaining() const
{
    auto left = this->deadline - this->clock.now();
    if (left <= Duration(0)) {
        throw Poco::TimeoutException("the deadline of the exchange has passed");
    }
    return { static_cast<Poco::Timespan::TimeDiff>(left.count()) };
}

}
