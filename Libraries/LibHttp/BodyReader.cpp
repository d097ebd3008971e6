#include <LibHttp/BodyReader.h>

#include <algorithm>
#include <charconv>

namespace Lovageward {

namespace {

constexpr std::size_t maximumFramingLineBytes = 1024;
constexpr std::uint64_t maximumReadBytes = 65536;

}

BodyReader::BodyReader(HttpConnection &connection, const Poco::Net::HTTPResponse &head) : connection(connection)
{
    if (head.getChunkedTransferEncoding()) {
        this->state = State::ChunkSize;
    } else if (head.hasContentLength()) {
        const auto &length = head.get("Content-Length");
        auto [end, error] = std::from_chars(length.data(), length.data() + length.size(), this->remaining);
        bool isNumber = error == std::errc() && end == length.data() + length.size();
        this->state = !isNumber ? State::Invalid : this->remaining == 0 ? State::Done : State::KnownLength;
    } else if (head.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT) {
        this->state = State::Done;
    }
}

ReadStatus BodyReader::readSome(std::string &target, TimePoint deadline)
{
    while (true) {
        switch (this->state) {
        case State::Done:
            return ReadStatus::Ended;
        case State::Invalid:
            return ReadStatus::Malformed;
        case State::UntilClose:
            return this->connection.readSome(target, maximumReadBytes, deadline);
        case State::KnownLength:
        case State::ChunkData:
            return this->readData(target, deadline);
        default: {
            auto status = this->readFramingLine(deadline);
            if (status != ReadStatus::Ready) {
                return status;
            }
        }
        }
    }
}

ReadStatus BodyReader::readData(std::string &target, TimePoint deadline)
{
    auto before = target.size();
    auto status = this->connection.readSome(target, std::min(this->remaining, maximumReadBytes), deadline);
    if (status == ReadStatus::Ended) {
        return ReadStatus::Truncated;
    }
    this->remaining -= target.size() - before;
    if (this->remaining == 0) {
        this->state = this->state == State::ChunkData ? State::ChunkEnd : State::Done;
    }
    return status;
}

ReadStatus BodyReader::readFramingLine(TimePoint deadline)
{
    std::string line;
    auto status = this->connection.readLine(line, maximumFramingLineBytes, deadline);
    if (status == ReadStatus::Ended) {
        return ReadStatus::Truncated;
    }
    if (status != ReadStatus::Ready) {
        return status == ReadStatus::TooLarge ? ReadStatus::Malformed : status;
    }
    if (this->state == State::Trailer) {
        this->state = line.empty() ? State::Done : State::Trailer;
        return ReadStatus::Ready;
    }
    if (this->state == State::ChunkEnd) {
        this->state = State::ChunkSize;
        return line.empty() ? ReadStatus::Ready : ReadStatus::Malformed;
    }
    return this->takeChunkSize(line) ? ReadStatus::Ready : ReadStatus::Malformed;
}

bool BodyReader::takeChunkSize(const std::string &line)
{
    // Chunk extensions after a semicolon have no meaning here.
    constexpr int hexadecimal = 16;
    auto digits = line.substr(0, line.find_first_of("; \t"));
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), this->remaining, hexadecimal);
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) {
        return false;
    }
    this->state = this->remaining == 0 ? State::Trailer : State::ChunkData;
    return true;
}

}
