#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibLease/Order.h>

#include <string>

namespace Lovageward {

/** An order as one engine gets it. */
struct EngineOrder
{
    /** The same in each attempt and from each holder, so that an engine or its adapter can recognise a repetition. */
    std::string id;
    UpstreamId upstream;
    OrderKind kind = OrderKind::LoadModel;
    ModelId model;
    std::string detail;
    FencingNumber fencingNumber;
};

/** Sends orders to engines. Safe to call from several threads. */
class OrderSender
{
public:
    virtual ~OrderSender() = default;

    /**
     * Sends an order and waits for its acknowledgement. Orders set a state ("model x is loaded"), so repeating one has no
     * further effect. Nothing may be sent after the deadline.
     * Throws Error(OrderRejected) for an old fencing number and Error(UpstreamUnavailable, UpstreamConnectionLost or
     * UpstreamSilent) otherwise.
     */
    virtual void send(const EngineOrder &order, TimePoint deadline) = 0;
};

}
