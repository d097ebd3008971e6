#include <LibCore/ManualClock.h>
#include <LibHttp/ClientSession.h>
#include <LibHttp/DeadlineSocket.h>

#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>

#include <string>

using namespace Lovageward;

namespace {

/** Clock that moves on by one step whenever it is read, like a slow peer between two receives. */
class SteppingClock final : public Clock
{
public:
    explicit SteppingClock(Duration step) : step(step)
    {
    }

    TimePoint now() const override
    {
        auto current = this->current;
        this->current += this->step;
        return current;
    }

    WallTime wallNow() const override
    {
        return {};
    }

private:
    Duration step;
    mutable TimePoint current;
};

}

TEST_CASE("A connection whose deadline has passed receives nothing more, even if bytes are there", "[http]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    ManualClock clock;
    Poco::AutoPtr<DeadlineSocket> connection(new DeadlineSocket(clock));
    connection->connect(listener.address());
    auto peer = listener.acceptConnection();
    const std::string bytes = "HTTP/1.1 ";
    CHECK(peer.sendBytes(bytes.data(), static_cast<int>(bytes.size())) == static_cast<int>(bytes.size()));

    connection->setDeadline(clock.now() + minutes(1));
    char byte = 0;
    CHECK(connection->receiveBytes(&byte, 1, 0) == 1);
    CHECK(byte == 'H');
    clock.advance(minutes(1) - milliseconds(1));
    CHECK(connection->receiveBytes(&byte, 1, 0) == 1);
    CHECK(byte == 'T');
    clock.advance(milliseconds(1));
    CHECK_THROWS_AS(connection->receiveBytes(&byte, 1, 0), Poco::TimeoutException);
    CHECK_THROWS_AS(connection->sendBytes(&byte, 1, 0), Poco::TimeoutException);

    connection->setDeadline(clock.now() + minutes(1));
    CHECK(connection->receiveBytes(&byte, 1, 0) == 1);
    CHECK(byte == 'T');
}

TEST_CASE("The deadline of an exchange bounds its whole head", "[http]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    ManualClock still;
    auto address = listener.address().toString();
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (auto isSlow : { false, true }) {
        SteppingClock stepping(minutes(1));
        const Clock &clock = isSlow ? static_cast<const Clock &>(stepping) : still;
        auto session = ClientSession::connect(clock, address, still.now() + minutes(5));
        auto peer = listener.acceptConnection();
        peer.sendBytes(answer.data(), static_cast<int>(answer.size()));
        RequestHead request { Method("GET"), RequestTarget("/"), {} };
        // The connection takes the first reading of the clock; the exchange begins with the second.
        auto deadline = still.now() + minutes(2);
        if (isSlow) {
            CHECK_THROWS_AS(session->exchange(request, "", deadline), Poco::TimeoutException);
        } else {
            CHECK(session->exchange(request, "", deadline).status == 200);
        }
    }
}
