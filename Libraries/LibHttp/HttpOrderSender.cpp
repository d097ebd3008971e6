#include <LibHttp/HttpOrderSender.h>

#include <LibCore/Error.h>
#include <LibHttp/SimpleHttp.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>

#include <fmt/format.h>

#include <sstream>

namespace Lovageward {

namespace {

std::string_view kindName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadAdapter:
        return "LoadAdapter";
    case OrderKind::LoadVersion:
        return "LoadVersion";
    case OrderKind::ChangeRole:
        return "ChangeRole";
    case OrderKind::LoadModel:
        break;
    }
    return "LoadModel";
}

std::string encode(const EngineOrder &order)
{
    Poco::JSON::Object object;
    object.set("id", order.id);
    object.set("kind", std::string(kindName(order.kind)));
    object.set("model", order.model.value());
    object.set("detail", order.detail);
    object.set("fencingNumber", order.fencingNumber.value());
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

}

HttpOrderSender::HttpOrderSender(const Clock &clock, const UpstreamTable &table) : clock(clock), table(table)
{
}

void HttpOrderSender::send(const EngineOrder &order, TimePoint deadline)
{
    auto upstream = this->table.find(order.upstream);
    if (!upstream) {
        throw Error(ResultCode::UpstreamUnavailable, RunState::NotRun, fmt::format("upstream {} isn't listed", order.upstream.value()));
    }
    try {
        auto answer = exchange(this->clock, upstream->address, "POST", "/orders", encode(order), deadline);
        constexpr int statusOk = 200;
        constexpr int statusConflict = 409;
        if (answer.status == statusConflict) {
            throw Error(ResultCode::OrderRejected, RunState::NotRun, fmt::format("{} rejected an old fencing number", order.upstream.value()));
        }
        if (answer.status != statusOk) {
            throw Error(ResultCode::UpstreamUnavailable, RunState::NotRun, fmt::format("{} answered an order with {}", order.upstream.value(), answer.status));
        }
    } catch (const Poco::TimeoutException &) {
        throw Error(ResultCode::UpstreamSilent, RunState::Unknown, fmt::format("{} didn't answer an order in time", order.upstream.value()));
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::UpstreamConnectionLost, RunState::Unknown, fmt::format("{}: {}", order.upstream.value(), error.displayText()));
    }
}

}
