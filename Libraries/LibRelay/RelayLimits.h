#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Lovageward {

/** Timeouts and limits of one relayed generation. */
struct RelayLimits
{
    /** Time for the response head when a generation is resumed after its first token. */
    Duration connectTimeout = seconds(5);
    /**
     * Time from the start of a generation to its first event. Engines queue work, and some send the response head only with the first token,
     * so this timeout is longer than the others and also applies to the response head of a start.
     */
    Duration firstTokenTimeout = seconds(20);
    /** Maximum time after a token without a new token or the end marker. A connection that exceeds it is replaced. */
    Duration tokenGapTimeout = seconds(5);
    /** Interval of the checks for a disconnected caller and for the drain deadline while no event arrives. */
    Duration checkInterval = milliseconds(250);
    /** Time after which a cancellation is given up. */
    Duration cancelTimeout = seconds(2);
    /** Consecutive resumes without a new token after which the generation counts as lost. */
    unsigned maximumResumes = 4;
    /** Maximum number of generations started for one request, including the first. */
    unsigned maximumStarts = 3;
    /** Base and cap of the delay before another attempt. */
    Duration backoffBase = milliseconds(50);
    Duration backoffCap = seconds(1);
    /** Maximum size of a buffered answer in bytes. */
    std::size_t maximumHeldBytes = 16'777'216;
};

}
