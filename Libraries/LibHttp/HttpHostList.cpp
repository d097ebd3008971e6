#include <LibHttp/HttpHostList.h>

#include <LibCore/Error.h>
#include <LibHttp/HostListCodec.h>
#include <LibHttp/SimpleHttp.h>

#include <Poco/Exception.h>

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace Lovageward {

HttpHostList::HttpHostList(const Clock &clock, std::string address) : clock(clock), address(std::move(address))
{
}

std::vector<ListedHost> HttpHostList::fetch(TimePoint deadline)
{
    try {
        auto answer = exchange(this->clock, this->address, "GET", "/hosts", "", deadline);
        constexpr int statusOk = 200;
        if (answer.status != statusOk) {
            throw Error(ResultCode::HostListUnavailable, RunState::NotRun, fmt::format("the host list answered with status {}", answer.status));
        }
        return parseHostList(answer.body);
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::HostListUnavailable, RunState::NotRun, fmt::format("the host list is out of reach: {}", error.displayText()));
    }
}

FileHostList::FileHostList(std::string path) : path(std::move(path))
{
}

std::vector<ListedHost> FileHostList::fetch(TimePoint /*deadline*/)
{
    if (this->path.empty()) {
        return {};
    }
    std::ifstream file(this->path);
    if (!file) {
        throw Error(ResultCode::HostListUnavailable, RunState::NotRun, fmt::format("the host list file '{}' can't be opened", this->path));
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return parseHostList(text);
}

}
