#pragma once

#include <LibCore/Counters.h>

namespace Lovageward {

/** Metrics of the generation relay; docs/operations/relay.md explains them. */
struct RelayCounters
{
    explicit RelayCounters(Counters &counters)
        : completed(counters.counter("lovageward_generations_total{result=\"completed\"}"))
        , failed(counters.counter("lovageward_generations_total{result=\"failed\"}"))
        , incomplete(counters.counter("lovageward_generations_total{result=\"incomplete\"}"))
        , callerGone(counters.counter("lovageward_generations_total{result=\"caller_gone\"}"))
        , handedOver(counters.counter("lovageward_generations_total{result=\"handed_over\"}"))
        , tokens(counters.counter("lovageward_relay_tokens_total"))
        , resumes(counters.counter("lovageward_relay_resumes_total"))
        , restarts(counters.counter("lovageward_relay_restarts_total"))
        , silences(counters.counter("lovageward_relay_silences_total"))
        , connectionLosses(counters.counter("lovageward_relay_connection_losses_total"))
        , duplicates(counters.counter("lovageward_relay_duplicates_total"))
        , mismatches(counters.counter("lovageward_relay_mismatches_total"))
        , offsetGaps(counters.counter("lovageward_relay_offset_gaps_total"))
    {
    }

    Counter &completed;
    Counter &failed;
    Counter &incomplete;
    Counter &callerGone;
    Counter &handedOver;
    Counter &tokens;
    Counter &resumes;
    Counter &restarts;
    Counter &silences;
    Counter &connectionLosses;
    Counter &duplicates;
    Counter &mismatches;
    Counter &offsetGaps;
};

}
