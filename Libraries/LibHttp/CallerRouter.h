#pragma once

#include <LibHttp/CallerServer.h>
#include <LibHttp/RequestReader.h>
#include <LibHttp/ResponseWriter.h>
#include <LibRelay/DrainSignal.h>

namespace Lovageward {

/** Answers the requests of the caller API. Used from all connection threads. */
class CallerRouter
{
public:
    CallerRouter(const CallerServerParts &parts, const DrainSignal &drain);

    /** Answers one request completely; errors become JSON answers. */
    void handle(const CallerRequest &request, ResponseWriter &response);

private:
    void route(const CallerRequest &request, ResponseWriter &response);
    void answerReadiness(ResponseWriter &response) const;

    CallerServerParts parts;
    const DrainSignal &drain;
    Logger logger;
};

}
