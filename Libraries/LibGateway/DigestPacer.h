#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <cstddef>

namespace Lovageward {

/** What a node is to tell its group now. */
struct DueDigests
{
    /** All of its load. */
    bool state = false;
    /** How fresh its records are. Only from nodes that speak for others. */
    bool freshness = false;
    /** The load that changed. */
    bool changes = false;
};

/**
 * Decides when this node tells its peers of its state. Changes of load are told soon, but the larger the group the more of them are told together:
 * its engines are as many more, so that a single change matters less, and a node hears all of the group. Answers the load pattern of many placements a second
 * at many nodes. The first two functions are safe from any thread; one thread calls the others.
 */
class DigestPacer
{
public:
    void loadChanged();

    /** The node has all records for the first time, so that peers may ask it for them. */
    void recordsComplete();

    /** The node knows of newer records, or that its records are fresher. */
    void freshnessChanged();

    /** What is due to a group of so many peers. It counts as told. */
    DueDigests due(TimePoint now, std::size_t peers, bool speaksForOthers);

    /** When due() is to be asked again, unless something changes before. */
    TimePoint next(bool speaksForOthers) const;

private:
    std::atomic<bool> hasNewLoad = false;
    std::atomic<bool> isFresher = false;
    std::atomic<bool> isNewlyComplete = false;
    /** No change of load is told before that. */
    TimePoint loadAllowedAt;
    /** No news of freshness is told before that. */
    TimePoint newsAllowedAt;
    TimePoint stateAt;
    TimePoint freshnessAt;
};

}
