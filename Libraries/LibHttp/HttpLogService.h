#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibHttp/ClientSession.h>
#include <LibLog/LogService.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Lovageward {

struct HttpLogSettings
{
    /** IP address and port of the platform's log service. */
    std::string host;
    std::uint16_t port = 0;
    /** Connections that are kept open between calls. */
    std::size_t maximumIdleConnections = 8;
    /** An idle connection that is older is closed, because the path may have gone silent meanwhile. */
    Duration maximumIdleTime = seconds(10);
    /** Time beyond the wait of a long poll after which the connection counts as silent. */
    Duration readSlack = seconds(2);
};

/**
 * The platform's log over HTTP (docs/design.md, section 7). Thread-safe; its mutex guards the idle connections and is never
 * held during I/O.
 */
class HttpLogService final : public LogService
{
public:
    HttpLogService(HttpLogSettings settings, const Clock &clock, Counters &counters);
    ~HttpLogService() override;

    AppendReceipt append(const StreamName &stream, const std::string &payload, TimePoint deadline) override;
    LogReadResult read(const StreamName &stream, Offset from, std::size_t maximumRecords, TimePoint waitUntil) override;

private:
    using Session = ClientSession;

    struct IdleSession
    {
        std::unique_ptr<Session> session;
        TimePoint closeAt;
    };

    struct Exchange
    {
        std::string method;
        std::string path;
        std::string body;
        std::size_t maximumAnswerBytes = 0;
    };

    struct Answer
    {
        int status = 0;
        std::string body;
    };

    /** Sets `isWritten` before the first byte of the request may have left this host. */
    Answer exchange(const Exchange &exchange, TimePoint deadline, bool &isWritten);
    std::unique_ptr<Session> takeIdle();
    void keep(std::unique_ptr<Session> session);

    HttpLogSettings settings;
    const Clock &clock;
    Counter &appendFailures;
    Counter &unknownAppends;
    Counter &readFailures;
    std::mutex mutex;
    std::vector<IdleSession> idle;
};

}
