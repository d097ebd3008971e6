#include <LibHttp/HostListCodec.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

ListedHost parseHost(const Poco::JSON::Object &row)
{
    ListedHost host;
    host.name = row.getValue<std::string>("host");
    host.kind = row.getValue<std::string>("kind") == "entry" ? HostKind::Entry : HostKind::Upstream;
    host.pool = PoolId(row.optValue<std::string>("pool", ""));
    host.region = RegionId(row.getValue<std::string>("region"));
    host.failureDomain = FailureDomainId(row.getValue<std::string>("failureDomain"));
    host.address = row.getValue<std::string>("address");
    host.peerAddress = PeerAddress(row.optValue<std::string>("peerAddress", ""));
    host.isLeaving = row.optValue<std::string>("state", "live") == "leaving";
    return host;
}

}

std::vector<ListedHost> parseHostList(const std::string &json)
{
    std::vector<ListedHost> hosts;
    try {
        Poco::JSON::Parser parser;
        auto rows = parser.parse(json).extract<Poco::JSON::Array::Ptr>();
        for (std::size_t index = 0; index < rows->size(); ++index) {
            hosts.push_back(parseHost(*rows->getObject(static_cast<unsigned>(index))));
        }
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::MalformedJson, RunState::NotRun, fmt::format("the host list can't be read: {}", error.displayText()));
    }
    return hosts;
}

}
