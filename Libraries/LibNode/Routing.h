#pragma once

#include <LibCredits/CreditClient.h>
#include <LibCredits/CreditOwner.h>
#include <LibCredits/LoadDigestReceiver.h>
#include <LibCredits/LoadDigestSender.h>
#include <LibCredits/LoadPoller.h>
#include <LibCredits/UpstreamTableUpdater.h>
#include <LibDispatch/LinkBudget.h>
#include <LibDispatch/QueueingDispatcher.h>
#include <LibHttp/HttpLoadProbe.h>
#include <LibMembership/HostListPoller.h>
#include <LibMembership/TaskThread.h>
#include <LibNode/LogBackedColdStartLease.h>
#include <LibNode/SharedState.h>
#include <LibPolicy/ForecastChooser.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Lovageward {

/** Components that choose an upstream for work: upstream table, load reports, credits, policy and dispatch queue. */
struct Routing
{
    explicit Routing(SharedState &sharedState);

    /** Starts the periodic tasks. */
    void start();
    void stop();

    SharedState &shared;
    UpstreamTable table;
    UpstreamOwnership ownership;
    UpstreamTableUpdater directory;
    HostListPoller hostListPoller;
    HttpLoadProbe probe;
    LoadDigestSender digestSender;
    LoadDigestReceiver digestReceiver;
    LogBackedColdStartLease coldStartLease;
    CreditOwner creditOwner;
    CreditClient creditClient;
    LoadPoller loadPoller;
    ForecastChooser chooser;
    LinkBudget link;
    QueueingDispatcher dispatcher;

private:
    void wakeCreditClient();

    std::unique_ptr<TaskThread> creditClientThread;
    std::vector<std::unique_ptr<TaskThread>> threads;
};

}
