#include <LibHttp1/HeadEncoder.h>

namespace Lovageward {

namespace {

void appendFields(std::string &bytes, const HeaderFields &fields)
{
    for (const auto &[name, value] : fields) {
        bytes.append(name.value()).append(": ").append(value.value()).append("\r\n");
    }
    bytes.append("\r\n");
}

std::size_t estimateSize(const HeaderFields &fields)
{
    constexpr std::size_t separators = 4;
    constexpr std::size_t firstLine = 128;
    auto size = firstLine;
    for (const auto &[name, value] : fields) {
        size += name.value().size() + value.value().size() + separators;
    }
    return size;
}

}

std::string encodeHead(const RequestHead &head)
{
    std::string bytes;
    bytes.reserve(estimateSize(head.fields) + head.target.value().size());
    bytes.append(head.method.value()).append(" ").append(head.target.value()).append(" HTTP/1.1\r\n");
    appendFields(bytes, head.fields);
    return bytes;
}

std::string encodeHead(const ResponseHead &head)
{
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    if (head.status < firstStatus || head.status > lastStatus) {
        throw Error(ResultCode::Internal, RunState::NotRun, fmt::format("{} is not the status of a response", head.status));
    }
    std::string bytes;
    bytes.reserve(estimateSize(head.fields) + head.reason.value().size());
    bytes.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ").append(head.reason.value()).append("\r\n");
    appendFields(bytes, head.fields);
    return bytes;
}

}
