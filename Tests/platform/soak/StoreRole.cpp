#include "StoreRole.h"
#include "RoleServer.h"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <sstream>

namespace Lovageward::Soak {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;
constexpr std::size_t recordsPerRead = 200;

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text;
    for (auto left = bytes; left > 0; --left) {
        text += static_cast<char>(number >> (8 * (left - 1)) & 0xFFU);
    }
    return text;
}

std::string base64(const std::string &text)
{
    std::ostringstream output;
    Poco::Base64Encoder encoder(output);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return output.str();
}

/** Status of a read from an offset that the store doesn't have. */
constexpr int goneStatus = 410;

/** A response of the store. */
struct StoreReply
{
    int status = 200;
    std::string body;
    std::uint64_t era = 0;
};

/** In-memory logs of keyed records, one per topic, that can list the latest value of each key and be restored to their state of some time ago. */
class TopicLog
{
public:
    StoreReply append(const std::string &topic, const std::string &content)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->topics[topic].push_back({ content, std::chrono::steady_clock::now() });
        this->recordAppended.notify_all();
        return { .body = {}, .era = this->era };
    }

    /** Drops the records of the last `age` and begins the next era. */
    StoreReply restore(std::chrono::milliseconds age)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto copiedAt = std::chrono::steady_clock::now() - age;
        for (auto &[topic, records] : this->topics) {
            std::erase_if(records, [copiedAt](const Record &record) { return record.appendedAt > copiedAt; });
        }
        ++this->era;
        this->recordAppended.notify_all();
        return { .body = {}, .era = this->era };
    }

    StoreReply read(const std::string &topic, std::uint64_t from, std::chrono::milliseconds wait)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->recordAppended.wait_for(lock, wait, [&, startEra = this->era] { return this->topics[topic].size() > from || this->era != startEra; });
        const auto &records = this->topics[topic];
        if (from > records.size()) {
            return { goneStatus, R"({"first":0})", this->era };
        }
        auto body = bigEndian(records.size(), offsetBytes) + bigEndian(0, offsetBytes);
        for (auto at = from; at < std::min<std::uint64_t>(records.size(), from + recordsPerRead); ++at) {
            body += bigEndian(records[at].content.size(), lengthBytes) + records[at].content;
        }
        return { .body = body, .era = this->era };
    }

    StoreReply listLatestValues(const std::string &topic)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        std::map<std::string, std::pair<std::string, std::size_t>> values;
        const auto &records = this->topics[topic];
        for (std::size_t offset = 0; offset < records.size(); ++offset) {
            const auto &content = records[offset].content;
            auto keyLength = static_cast<unsigned char>(content.front());
            values[content.substr(1, keyLength)] = { content.substr(1 + keyLength), offset };
        }
        Poco::JSON::Array items;
        for (const auto &[key, value] : values) {
            if (!value.first.empty()) {
                Poco::JSON::Object item;
                item.set("key", key);
                item.set("value", base64(value.first));
                item.set("offset", static_cast<Poco::UInt64>(value.second));
                items.add(item);
            }
        }
        Poco::JSON::Object page;
        page.set("items", items);
        page.set("end", static_cast<Poco::UInt64>(records.size()));
        page.set("hasMore", false);
        std::ostringstream text;
        page.stringify(text);
        return { .body = text.str(), .era = this->era };
    }

private:
    struct Record
    {
        std::string content;
        std::chrono::steady_clock::time_point appendedAt;
    };

    std::mutex mutex;
    std::condition_variable recordAppended;
    std::map<std::string, std::vector<Record>> topics;
    std::uint64_t era = 0;
};

class StoreHandler final : public RoleHandler
{
public:
    void handle(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        Poco::URI uri(request.getURI());
        std::map<std::string, std::string> query;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            query[name] = value;
        }
        StoreReply reply;
        if (uri.getPath() == "/-/log-append") {
            std::ostringstream content;
            content << request.stream().rdbuf();
            reply = this->log.append(query["topic"], content.str().substr(lengthBytes));
        } else if (uri.getPath() == "/-/log-read") {
            reply = this->log.read(query["topic"], std::stoull(query["fromRev"]), std::chrono::milliseconds(std::stoi(query["waitMs"])));
        } else if (uri.getPath() == "/restore") {
            reply = this->log.restore(std::chrono::milliseconds(std::stoi(query["ageMs"])));
        } else {
            reply = this->log.listLatestValues(query["topic"]);
        }
        response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(reply.status));
        response.set("Store-Era", std::to_string(reply.era));
        response.setContentLength64(static_cast<Poco::Int64>(reply.body.size()));
        response.send() << reply.body;
    }

private:
    TopicLog log;
};

}

int runStoreRole()
{
    StoreHandler handler;
    return serveRole(handler);
}

}
