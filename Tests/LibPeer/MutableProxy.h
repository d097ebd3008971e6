#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/**
 * TCP forwarder on a loopback port. mute() stops the forwarding on the connections that are open now, and leaves them open,
 * while new connections work: the state of a link after a silent loss.
 */
class MutableProxy
{
public:
    explicit MutableProxy(int targetPort) : targetPort(targetPort), listener(openListener()), acceptor([this] { this->accept(); })
    {
    }

    MutableProxy(const MutableProxy &) = delete;
    MutableProxy &operator=(const MutableProxy &) = delete;

    ~MutableProxy()
    {
        this->isStopping = true;
        this->acceptor.join();
        for (auto &forwarder : this->forwarders) {
            forwarder.join();
        }
        ::close(this->listener);
    }

    std::string address() const
    {
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&bound), &size);
        return "tcp://127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }

    void mute()
    {
        this->mutedBelow = this->accepted.load();
    }

    int acceptedConnections() const
    {
        return this->accepted;
    }

private:
    static constexpr int pollMilliseconds = 20;

    static sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }

    static int openListener()
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(0);
        static_cast<void>(::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address));
        ::listen(descriptor, 16);
        return descriptor;
    }

    void accept()
    {
        pollfd waiting { this->listener, POLLIN, 0 };
        while (!this->isStopping) {
            if (::poll(&waiting, 1, pollMilliseconds) == 1) {
                int inner = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                auto number = this->accepted++;
                this->forwarders.emplace_back([this, inner, number] { this->forward(inner, number); });
            }
        }
    }

    void forward(int inner, int number) const
    {
        int outer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(this->targetPort);
        static_cast<void>(::connect(outer, reinterpret_cast<sockaddr *>(&address), sizeof address));
        std::array<pollfd, 2> waiting { pollfd { inner, POLLIN, 0 }, pollfd { outer, POLLIN, 0 } };
        bool isOpen = true;
        while (!this->isStopping && isOpen) {
            ::poll(waiting.data(), waiting.size(), pollMilliseconds);
            for (std::size_t side = 0; side < waiting.size() && isOpen; ++side) {
                if (waiting[side].revents != 0) {
                    isOpen = this->move(waiting[side].fd, waiting[1 - side].fd, number);
                }
            }
        }
        ::close(inner);
        ::close(outer);
    }

    bool move(int from, int to, int number) const
    {
        std::array<char, 4096> buffer {};
        auto size = ::recv(from, buffer.data(), buffer.size(), 0);
        if (size > 0 && number >= this->mutedBelow) {
            ::send(to, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL);
        }
        return size > 0;
    }

    int targetPort;
    int listener;
    std::atomic<bool> isStopping = false;
    std::atomic<int> accepted = 0;
    std::atomic<int> mutedBelow = 0;
    /** Used by the acceptor only, until it has ended. */
    std::vector<std::thread> forwarders;
    std::thread acceptor;
};
