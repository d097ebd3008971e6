#pragma once

#include <LibCore/Error.h>
#include <LibGateway/ForwardProtocol.h>

#include <Poco/StringTokenizer.h>
#include <fmt/format.h>

#include <cctype>
#include <sstream>
#include <string>

namespace Lovageward {

/** A minimal protocol, so that the tests don't depend on the field names of a deployment. */
class TestProtocol final : public ForwardProtocol
{
public:
    ForwardedRequest decodeRequest(const Poco::Net::HTTPRequest &head, TimePoint arrivedAt) const override
    {
        ForwardedRequest request;
        request.id = RequestId(head.get("Id", ""));
        if (request.id.isEmpty()) {
            throw Error(ResultCode::BadRequest, RunState::NotRun, "no id");
        }
        request.method = head.getMethod();
        request.target = head.getURI();
        request.host = head.get("Host", "");
        request.arrivedAt = arrivedAt;
        request.deadline = arrivedAt + milliseconds(std::stoi(head.get("Wait-Ms", "20000")));
        request.promptTokens = TokenCount(1000);
        request.maximumOutputTokens = TokenCount(1000);
        Poco::StringTokenizer parts(head.get("Parts", ""), ",");
        for (const auto &part : parts) {
            request.promptParts.push_back(PromptPart { part, TokenCount(100) });
        }
        for (const auto &[name, value] : head) {
            if (name != "Content-Length" && name != "Transfer-Encoding" && name != "Connection") {
                request.forwardedHeaders.emplace_back(name, value);
            }
        }
        return request;
    }

    std::string encodeRequestHead(const ForwardedRequest &request, const ForwardOptions &options) const override
    {
        auto bytes = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
        for (const auto &[name, value] : request.forwardedHeaders) {
            bytes += fmt::format("{}: {}\r\n", name, value);
        }
        bytes += fmt::format("Upstream: {}\r\n", options.upstream.value());
        if (!options.backupAddress.empty()) {
            bytes += fmt::format("Backup: {}\r\n", options.backupAddress);
        }
        if (options.kvCache) {
            bytes += fmt::format("Memory: {}/{}\r\n", options.kvCache->address, options.kvCache->handle);
        }
        if (options.lastEventId) {
            bytes += fmt::format("Last-Event-Id: {}\r\n", *options.lastEventId);
        }
        return bytes + fmt::format("Content-Length: {}\r\n\r\n", request.body.size());
    }

    ResponseMetadata decodeResponse(const Poco::Net::HTTPResponse &head) const override
    {
        ResponseMetadata metadata;
        metadata.requestId = RequestId(head.get("Id", ""));
        metadata.hasServerStamp = head.has("Mark");
        metadata.hasNotRun = head.has("Not-Run");
        metadata.isShuttingDown = head.has("Leaving");
        metadata.retryAfter = milliseconds(std::stoi(head.get("Wait-Ms", "0")));
        Poco::StringTokenizer load(head.get("Load", ""), ",");
        if (load.count() == 4) {
            auto figure = [&load](std::size_t position) { return static_cast<std::uint32_t>(std::stoul(load[position])); };
            metadata.load = ReportedLoad { figure(0), figure(1), figure(2), figure(3) };
        }
        metadata.hasRateLimit = head.has("Limit");
        auto limit = head.get("Limit", "none");
        if (std::isdigit(static_cast<unsigned char>(limit.front())) != 0) {
            metadata.requestsPerSecond = std::stod(limit);
        }
        return metadata;
    }

    std::string encodeMoveRequest(const RequestId &request, const std::string &targetAddress) const override
    {
        return fmt::format("POST /move HTTP/1.1\r\nId: {}\r\nTarget: {}\r\nContent-Length: 0\r\n\r\n", request.value(), targetAddress);
    }

    MoveResponse decodeMoveResponse(int status, const std::string &body) const override
    {
        return MoveResponse { status == 200, body };
    }

    const std::string &requestIdField() const override
    {
        static const std::string field = "Id";
        return field;
    }
};

}
