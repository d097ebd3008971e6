#include <LibNode/NodeContext.h>

#include <LibHttp/HttpHostList.h>
#include <LibHttp/HttpLogService.h>
#include <LibLog/InMemoryLogService.h>

#include <Poco/NumberParser.h>

namespace Lovageward {

namespace {

HttpLogSettings makeLogSettings(const std::string &address)
{
    auto colon = address.rfind(':');
    HttpLogSettings settings;
    settings.host = address.substr(0, colon);
    settings.port = static_cast<std::uint16_t>(Poco::NumberParser::parseUnsigned(address.substr(colon + 1)));
    return settings;
}

}

NodeContext::NodeContext(const NodeSettings &nodeSettings)
    : settings(nodeSettings)
    , sink(nodeSettings.logLevel)
    , logger(this->sink, "node")
    , incarnation(static_cast<std::uint64_t>(toMilliseconds(this->clock.wallNow())))
{
    if (this->settings.isEmbedded()) {
        this->logger.warning(
            "No platform is set. Running as a single node on an in-memory log; configuration, claims and results are lost when the process ends.");
        this->log = std::make_unique<InMemoryLogService>(this->clock, logRetention);
        this->hostList = std::make_unique<FileHostList>(this->settings.hostsFile);
        if (this->settings.resumeKey.empty()) {
            this->settings.resumeKey = this->random.hexId();
        }
        return;
    }
    this->log = std::make_unique<HttpLogService>(makeLogSettings(this->settings.platformAddress), this->clock, this->counters);
    this->hostList = std::make_unique<HttpHostList>(this->clock, this->settings.platformAddress);
}

Member NodeContext::self() const
{
    Member member;
    member.host = this->settings.host;
    member.incarnation = this->incarnation;
    member.region = this->settings.region;
    member.failureDomain = this->settings.failureDomain;
    member.peerAddress = PeerAddress("tcp://" + this->settings.peerListenAddress);
    return member;
}

}
