#include "HeadFuzzer.h"

#include "PlainReading.h"

#include <LibCore/Error.h>
#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/HeadEncoder.h>
#include <LibHttp1/MessageFraming.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace Lovageward {

namespace {

/** Pieces that readers of HTTP are known to treat differently. */
const std::vector<std::string> pieces {
    "\r\n",
    "\r",
    "\n",
    " ",
    "\t",
    ":",
    ",",
    ";",
    "=",
    "\"",
    "\\",
    "0",
    "1",
    "ffffffffffffffff",
    "18446744073709551616",
    "-1",
    "+1",
    "0x1",
    "chunked",
    "identity",
    "close",
    "Content-Length: 5\r\n",
    "Content-Length : 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Connection: Content-Length\r\n",
    "Host: b\r\n",
    " folded\r\n",
    "=?utf-8?Q?a=0D=0Ab:_c?=",
    "=?utf-8?B?DQo=?=",
    "\r\n\r\n",
    "GET /hidden HTTP/1.1\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.0",
    "\x0b",
    "\x0c",
    "\x7f",
    "\x85",
    "\xc2\xa0",
    "0\r\n\r\n",
    "5\r\nhello\r\n",
    std::string("\0", 1),
};

bool hasSameFields(const HeaderFields &fields, const PlainMessage &message)
{
    return std::equal(fields.begin(), fields.end(), message.fields.begin(), message.fields.end(), [](const HeaderField &field, const auto &other) {
        return field.name.value() == other.first && field.value.value() == other.second;
    });
}

/** Decodes a body in pieces of random sizes. Bytes after it are left in `received`. */
BodyDecoder::State decodeInPieces(RandomSource &random, const std::string &bytes, std::string &body, std::string &received)
{
    constexpr std::uint64_t largestPiece = 40;
    BodyDecoder decoder(BodyFraming::Chunked, 0);
    auto state = BodyDecoder::State::NeedsMoreData;
    std::size_t position = 0;
    while (state == BodyDecoder::State::NeedsMoreData && position < bytes.size()) {
        auto size = std::min<std::size_t>(bytes.size() - position, 1 + random.below(largestPiece));
        received += bytes.substr(position, size);
        position += size;
        state = decoder.decode(received, body);
    }
    received += bytes.substr(position);
    return state;
}

}

HeadFuzzer::HeadFuzzer(RandomSource &random, const std::string &corpusFolder) : random(random)
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(corpusFolder)) {
        files.push_back(entry.path());
    }
    // The order of a folder differs between machines, and a seed has to play the same everywhere.
    std::sort(files.begin(), files.end());
    for (const auto &path : files) {
        std::ifstream file(path, std::ios::binary);
        this->corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    if (this->corpus.empty()) {
        throw std::runtime_error("no corpus in " + corpusFolder);
    }
}

std::string HeadFuzzer::mutate()
{
    constexpr std::uint64_t maximumMutations = 4;
    auto bytes = this->corpus[this->random.below(this->corpus.size())];
    for (auto count = this->random.below(maximumMutations + 1); count > 0; --count) {
        auto position = this->random.below(bytes.size() + 1);
        auto length = this->random.below(bytes.size() - position + 1);
        switch (this->random.below(6)) {
        case 0:
            bytes.insert(position, pieces[this->random.below(pieces.size())]);
            break;
        case 1:
            bytes.replace(position, std::min<std::size_t>(length, 3), pieces[this->random.below(pieces.size())]);
            break;
        case 2:
            bytes.erase(position, std::min<std::size_t>(length, 8));
            break;
        case 3:
            bytes.insert(position, 1, static_cast<char>(this->random.below(256)));
            break;
        case 4:
            bytes.insert(this->random.below(bytes.size() + 1), bytes.substr(position, std::min<std::size_t>(length, 40)));
            break;
        default: {
            const auto &other = this->corpus[this->random.below(this->corpus.size())];
            bytes.insert(position, other.substr(this->random.below(other.size() + 1)));
            break;
        }
        }
    }
    return bytes;
}

std::string HeadFuzzer::checkRequest(const std::string &bytes)
{
    auto rest = bytes;
    RequestHead head;
    MessageFraming framing;
    try {
        auto headBytes = extractHead(rest);
        if (!headBytes) {
            return {};
        }
        head = decodeRequestHead(*headBytes);
        framing = requestFraming(head);
    } catch (const Error &) {
        return {};
    }
    std::string body;
    BodyDecoder decoder(framing.type, framing.length);
    if (decoder.decode(rest, body) != BodyDecoder::State::Complete) {
        return {};
    }
    ++this->acceptedMessages;
    auto read = readPlainly(bytes);
    if (!read || !hasSameFields(head.fields, *read)) {
        return "a second reader sees another request than was decoded";
    }
    // As a gateway forwards it, with a length.
    RequestHead forwarded { head.method, head.target, {} };
    for (const auto &field : head.fields) {
        if (!isHopByHopField(head.fields, field.name.value()) && !equalsIgnoringCase(field.name.value(), "Content-Length")) {
            forwarded.fields.add(field.name, field.value);
        }
    }
    forwarded.fields.add("Content-Length", std::to_string(body.size()));
    auto written = readPlainly(encodeHead(forwarded) + body);
    auto isSame = written && written->firstLine == std::vector<std::string> { head.method.value(), head.target.value(), "HTTP/1.1" }
        && hasSameFields(forwarded.fields, *written) && written->rest == body;
    return isSame ? std::string() : "what is written for a request isn't this one request";
}

std::string HeadFuzzer::checkResponse(const std::string &bytes)
{
    auto rest = bytes;
    ResponseHead head;
    try {
        auto headBytes = extractHead(rest);
        if (!headBytes) {
            return {};
        }
        head = decodeResponseHead(*headBytes);
        responseFraming(head, "GET");
    } catch (const Error &) {
        return {};
    }
    ++this->acceptedMessages;
    auto read = readPlainly(bytes);
    auto written = readPlainly(encodeHead(forwardedHead(head)));
    if (!read || !hasSameFields(head.fields, *read)) {
        return "a second reader sees another response than was decoded";
    }
    auto isSame = written && written->firstLine == std::vector<std::string> { "HTTP/1.1", std::to_string(head.status), head.reason.value() }
        && hasSameFields(forwardedHead(head).fields, *written) && written->rest.empty();
    return isSame ? std::string() : "what is written for a response isn't this one response";
}

std::string HeadFuzzer::checkChunks(const std::string &bytes)
{
    auto begin = bytes.find("\r\n\r\n");
    auto chunks = begin == std::string::npos ? bytes : bytes.substr(begin + 4);
    std::string body;
    std::string rest;
    auto state = decodeInPieces(this->random, chunks, body, rest);
    std::string wholeBody;
    auto wholeRest = chunks;
    auto wholeState = BodyDecoder(BodyFraming::Chunked, 0).decode(wholeRest, wholeBody);
    if ((state == BodyDecoder::State::Complete) != (wholeState == BodyDecoder::State::Complete)) {
        return "a body in chunks is decoded differently in pieces";
    }
    if (state != BodyDecoder::State::Complete) {
        return {};
    }
    ++this->acceptedMessages;
    auto read = readChunksPlainly(chunks);
    auto isSame = read && read->first == body && read->second == rest && wholeBody == body && wholeRest == rest;
    return isSame ? std::string() : "a second reader sees another body in chunks than was decoded";
}

std::string HeadFuzzer::playOne()
{
    auto bytes = this->mutate();
    for (const auto &problem : { this->checkRequest(bytes), this->checkResponse(bytes), this->checkChunks(bytes) }) {
        if (!problem.empty()) {
            return fmt::format("{}:\n{}", problem, bytes);
        }
    }
    return {};
}

}
