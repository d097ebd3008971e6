#pragma once

#include <LibHttp/CallerRequest.h>
#include <LibHttp/CallerServer.h>
#include <LibHttp/CompletionHandler.h>
#include <LibHttp/ResponseWriter.h>
#include <LibHttp/ServiceHandler.h>
#include <LibHttp/SystemWaiter.h>
#include <LibRelay/DrainSignal.h>

namespace Lovageward {

/** Answers the requests of the caller API. Used from all connection threads. */
class CallerRouter
{
public:
    CallerRouter(const CallerServerParts &parts, const CallerServerSettings &settings, const DrainSignal &drain);

    /** Answers one request completely; errors become JSON answers. */
    void handle(const CallerRequest &request, ResponseWriter &response);

    /** Writes an error as the answer and counts it. */
    void refuse(const Error &error, ResponseWriter &response);

private:
    void route(const CallerRequest &request, ResponseWriter &response);
    void routeWork(const CallerRequest &request, const std::string &path, ResponseWriter &response);
    void answerReadiness(ResponseWriter &response) const;
    void answerModels(ResponseWriter &response) const;
    /** Throws Error with NotRun if the node takes no new work. */
    void checkReadiness() const;
    Team authenticate(const CallerRequest &request) const;

    CallerServerParts parts;
    const DrainSignal &drain;
    Logger logger;
    SystemWaiter waiter;
    CompletionHandler completions;
    ServiceHandler services;
};

}
