#pragma once

#include <LibCore/Clock.h>
#include <LibLease/OrderSender.h>
#include <LibPolicy/UpstreamTable.h>

namespace Lovageward {

/** Sends orders to engines over HTTP (`POST /orders`). The table gives the addresses. */
class HttpOrderSender final : public OrderSender
{
public:
    HttpOrderSender(const Clock &clock, const UpstreamTable &table);

    void send(const EngineOrder &order, TimePoint deadline) override;

private:
    const Clock &clock;
    const UpstreamTable &table;
};

}
