#pragma once

#include <LibCore/Error.h>
#include <LibGateway/ForwardProtocol.h>
#include <LibHttp1/HeadEncoder.h>

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
    ForwardedRequest decodeRequest(const RequestHead &head, TimePoint arrivedAt) const override
    {
        ForwardedRequest request;
        request.id = RequestId(head.fields.get("Id"));
        if (request.id.isEmpty()) {
            throw Error(ResultCode::BadRequest, RunState::NotRun, "no id");
        }
        request.method = head.method.value();
        request.target = head.target.value();
        request.host = head.fields.get("Host");
        request.arrivedAt = arrivedAt;
        request.deadline = arrivedAt + milliseconds(numberOf(head.fields, "Wait-Ms", 20000));
        request.promptTokens = TokenCount(1000);
        request.maximumOutputTokens = TokenCount(1000);
        Poco::StringTokenizer parts(head.fields.get("Parts"), ",");
        for (const auto &part : parts) {
            request.promptParts.push_back(PromptPart { part, TokenCount(100) });
        }
        for (const auto &[name, value] : head.fields) {
            if (name.value() != "Content-Length" && name.value() != "Transfer-Encoding" && name.value() != "Connection") {
                request.forwardedHeaders.add(name, value);
            }
        }
        return request;
    }

    std::string encodeRequestHead(const ForwardedRequest &request, const ForwardOptions &options) const override
    {
        RequestHead head { Method(request.method), RequestTarget(request.target), request.forwardedHeaders };
        head.fields.add("Upstream", options.upstream.value());
        if (!options.backupAddress.empty()) {
            head.fields.add("Backup", options.backupAddress);
        }
        if (options.kvCache) {
            head.fields.add("Memory", options.kvCache->address + "/" + options.kvCache->handle);
        }
        if (options.lastEventId) {
            head.fields.add("Last-Event-Id", std::to_string(*options.lastEventId));
        }
        head.fields.add("Content-Length", std::to_string(request.body.size()));
        return encodeHead(head);
    }

    ResponseMetadata decodeResponse(const ResponseHead &head) const override
    {
        ResponseMetadata metadata;
        metadata.requestId = RequestId(head.fields.get("Id"));
        metadata.hasServerStamp = head.fields.has("Mark");
        metadata.hasNotRun = head.fields.has("Not-Run");
        metadata.isShuttingDown = head.fields.has("Leaving");
        metadata.retryAfter = milliseconds(numberOf(head.fields, "Wait-Ms", 0));
        Poco::StringTokenizer load(head.fields.get("Load"), ",");
        if (load.count() == 4) {
            auto figure = [&load](std::size_t position) { return static_cast<std::uint32_t>(std::stoul(load[position])); };
            metadata.load = ReportedLoad { figure(0), figure(1), figure(2), figure(3) };
        }
        metadata.hasRateLimit = head.fields.has("Limit");
        const auto &limit = head.fields.get("Limit");
        if (!limit.empty() && std::isdigit(static_cast<unsigned char>(limit.front())) != 0) {
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

private:
    static int numberOf(const HeaderFields &fields, const std::string &name, int defaultValue)
    {
        return fields.has(name) ? std::stoi(fields.get(name)) : defaultValue;
    }
};

}
