#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <cstddef>

namespace Lovageward {

/** Who gets a digest. */
enum class DigestAudience {
    Nobody,
    /** See PeerTable::nearTargets. */
    Near,
    All,
};

/**
 * Decides when this node tells its peers of its state. Changes of load are told soon, but within a bound on datagrams; new records of the store
 * are told at once, because an engine's notice may be two seconds only. Answers the load pattern of many placements a second at many nodes.
 * The first two functions are safe from any thread; one thread calls the others.
 */
class DigestPacer
{
public:
    void loadChanged();
    void recordsRead();

    DigestAudience due(TimePoint now);

    /** The audience had so many peers. A reader is a node that reads the store for all. */
    void sent(TimePoint now, DigestAudience audience, std::size_t peers, bool isReader);

    /** When due() is to be asked again, unless something changes before. */
    TimePoint next() const;

private:
    std::atomic<bool> hasNewLoad = false;
    std::atomic<bool> hasNewRecords = false;
    /** No change of load is told before that. */
    TimePoint loadAllowedAt;
    /** When all peers get the next digest, changes or not. */
    TimePoint allAt;
};

}
