#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lovageward {

/** A run, or a copy of its memory, at one upstream. */
using RunNumber = NumberId<struct RunNumberTag>;

/** Memory that a run takes at its engine, in tokens. Zero for calls of plain services. */
struct Footprint
{
    double promptTokens = 0;
    double expectedOutputTokens = 0;
    double maximumOutputTokens = 0;

    /** Memory at the expected end of a run that has produced so much. */
    double peak(double produced) const;
};

/** Work at one upstream. */
struct UpstreamLoad
{
    std::uint32_t runs = 0;
    /** Memory when each run is at its expected end. */
    double peakTokens = 0;
    /** Prompt tokens of runs that have produced nothing yet. The engine reads prompts one after another. */
    double unreadTokens = 0;
};

/** Load of one node at one upstream, as nodes tell each other. */
struct LoadShare
{
    /** Stable hash of the upstream's id. */
    std::uint64_t upstreamHash = 0;
    UpstreamLoad load;
};

/**
 * Work that this node and its peers have at each upstream. Peers send their whole shares a few times a second, so a lost message is replaced by
 * the next one. Answers the load pattern of engines whose memory is nearly full while several nodes place work on them. Thread-safe; its mutex
 * is a leaf lock.
 */
class LoadBook
{
public:
    explicit LoadBook(const Clock &clock) : clock(clock)
    {
    }

    /** A run that continues from a copy, and the copy itself, have no prompt to be read. */
    RunNumber begin(const UpstreamId &upstream, const Footprint &footprint, bool hasUnreadPrompt);
    /** The first call shows that the prompt was read. */
    void progress(RunNumber run, double producedTokens);
    void end(RunNumber run);

    /** Load of this node and its peers. */
    UpstreamLoad load(const UpstreamId &upstream) const;

    /** Load of this node alone, upstreams without work left out. */
    std::vector<LoadShare> ownShares() const;

    /** Replaces what the peer said before. It counts until `validUntil`. */
    void applyPeer(const HostId &peer, const std::vector<LoadShare> &shares, TimePoint validUntil);

    /** Peers that were heard lately. */
    std::size_t livePeers() const;

    /** Up to so many peers tell each other of each change at once; beyond it only those of one failure domain do (see PeerTable). */
    static constexpr std::size_t fewPeers = 12;

    static std::uint64_t hashOf(const UpstreamId &upstream);

private:
    struct Run
    {
        UpstreamId upstream;
        Footprint footprint;
        double produced = 0;
        bool isRead = false;
    };

    struct Peer
    {
        TimePoint validUntil;
        std::unordered_map<std::uint64_t, UpstreamLoad> loads;
    };

    const Clock &clock;
    mutable std::mutex mutex;
    std::uint64_t lastRun = 0;
    std::map<RunNumber, Run> runs;
    std::map<UpstreamId, UpstreamLoad> own;
    std::map<HostId, Peer> peers;
};

/** Ends a run in the book at the end of a scope. */
class BookedRun
{
public:
    BookedRun(LoadBook &book, const UpstreamId &upstream, const Footprint &footprint, bool hasUnreadPrompt)
        : book(book), run(book.begin(upstream, footprint, hasUnreadPrompt))
    {
    }

    BookedRun(const BookedRun &) = delete;
    BookedRun &operator=(const BookedRun &) = delete;

    ~BookedRun()
    {
        this->book.end(this->run);
    }

    void progress(double producedTokens)
    {
        this->book.progress(this->run, producedTokens);
    }

private:
    LoadBook &book;
    RunNumber run;
};

}
