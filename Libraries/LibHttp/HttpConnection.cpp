#include <LibHttp/HttpConnection.h>

#include <algorithm>
#include <array>

namespace Lovageward {

ReadStatus HttpConnection::fill(TimePoint deadline)
{
    std::array<char, 4096> received;
    auto count = this->channel->receive(received.data(), received.size(), deadline);
    if (!count) {
        return ReadStatus::TimedOut;
    }
    if (*count == 0) {
        return ReadStatus::Ended;
    }
    this->buffer.append(received.data(), *count);
    return ReadStatus::Ready;
}

ReadStatus HttpConnection::waitForMessage(TimePoint deadline)
{
    return this->buffer.empty() ? this->fill(deadline) : ReadStatus::Ready;
}

ReadStatus HttpConnection::readHead(std::string &head, std::size_t maximumBytes, TimePoint deadline)
{
    std::size_t searched = 0;
    while (true) {
        auto end = this->buffer.find("\r\n\r\n", searched);
        if (end != std::string::npos && end + 4 <= maximumBytes) {
            head = this->buffer.substr(0, end + 4);
            this->buffer.erase(0, end + 4);
            return ReadStatus::Ready;
        }
        if (this->buffer.size() > maximumBytes) {
            return ReadStatus::TooLarge;
        }
        searched = this->buffer.size() > 3 ? this->buffer.size() - 3 : 0;
        auto status = this->fill(deadline);
        if (status == ReadStatus::Ended) {
            return this->buffer.empty() ? ReadStatus::Ended : ReadStatus::Truncated;
        }
        if (status != ReadStatus::Ready) {
            return status;
        }
    }
}

ReadStatus HttpConnection::readLine(std::string &line, std::size_t maximumBytes, TimePoint deadline)
{
    while (true) {
        auto end = this->buffer.find('\n');
        if (end != std::string::npos && end <= maximumBytes) {
            line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return ReadStatus::Ready;
        }
        if (this->buffer.size() > maximumBytes) {
            return ReadStatus::TooLarge;
        }
        auto status = this->fill(deadline);
        if (status != ReadStatus::Ready) {
            return status;
        }
    }
}

ReadStatus HttpConnection::readSome(std::string &target, std::size_t maximumBytes, TimePoint deadline)
{
    if (this->buffer.empty()) {
        auto status = this->fill(deadline);
        if (status != ReadStatus::Ready) {
            return status;
        }
    }
    auto count = std::min(maximumBytes, this->buffer.size());
    target.append(this->buffer, 0, count);
    this->buffer.erase(0, count);
    return ReadStatus::Ready;
}

}
