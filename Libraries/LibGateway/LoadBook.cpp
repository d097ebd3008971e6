#include <LibGateway/LoadBook.h>

#include <xxhash.h>

#include <algorithm>

namespace Lovageward {

double Footprint::peak(double produced) const
{
    auto output = std::max(this->expectedOutputTokens, produced);
    if (this->maximumOutputTokens > 0) {
        output = std::min(output, this->maximumOutputTokens);
    }
    return this->promptTokens + output;
}

RunNumber LoadBook::begin(const UpstreamId &upstream, const Footprint &footprint, bool hasUnreadPrompt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    RunNumber number(++this->lastRun);
    this->runs.emplace(number, Run { upstream, footprint, 0, !hasUnreadPrompt });
    auto &load = this->own[upstream];
    ++load.runs;
    load.peakTokens += footprint.peak(0);
    load.unreadTokens += hasUnreadPrompt ? footprint.promptTokens : 0;
    return number;
}

void LoadBook::progress(RunNumber run, double producedTokens)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return;
    }
    auto &entry = found->second;
    auto &load = this->own[entry.upstream];
    load.peakTokens += entry.footprint.peak(producedTokens) - entry.footprint.peak(entry.produced);
    entry.produced = producedTokens;
    if (!entry.isRead) {
        load.unreadTokens -= entry.footprint.promptTokens;
        entry.isRead = true;
    }
}

void LoadBook::end(RunNumber run)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return;
    }
    auto load = this->own.find(found->second.upstream);
    load->second.peakTokens -= found->second.footprint.peak(found->second.produced);
    load->second.unreadTokens -= found->second.isRead ? 0 : found->second.footprint.promptTokens;
    if (--load->second.runs == 0) {
        this->own.erase(load);
    }
    this->runs.erase(found);
}

UpstreamLoad LoadBook::load(const UpstreamId &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    UpstreamLoad total;
    auto mine = this->own.find(upstream);
    if (mine != this->own.end()) {
        total = mine->second;
    }
    auto now = this->clock.now();
    auto hash = hashOf(upstream);
    for (const auto &[host, peer] : this->peers) {
        auto theirs = peer.loads.find(hash);
        if (now < peer.validUntil && theirs != peer.loads.end()) {
            total.runs += theirs->second.runs;
            total.peakTokens += theirs->second.peakTokens;
            total.unreadTokens += theirs->second.unreadTokens;
        }
    }
    return total;
}

std::vector<LoadShare> LoadBook::ownShares() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<LoadShare> shares;
    shares.reserve(this->own.size());
    for (const auto &[upstream, load] : this->own) {
        shares.push_back(LoadShare { hashOf(upstream), load });
    }
    return shares;
}

void LoadBook::applyPeer(const HostId &peer, const std::vector<LoadShare> &shares, TimePoint validUntil)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::erase_if(this->peers, [&](const auto &known) { return now >= known.second.validUntil; });
    auto &entry = this->peers[peer];
    entry.validUntil = validUntil;
    entry.loads.clear();
    for (const auto &share : shares) {
        entry.loads[share.upstreamHash] = share.load;
    }
}

std::size_t LoadBook::livePeers() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    return static_cast<std::size_t>(std::count_if(this->peers.begin(), this->peers.end(), [&](const auto &peer) { return now < peer.second.validUntil; }));
}

std::uint64_t LoadBook::hashOf(const UpstreamId &upstream)
{
    return XXH64(upstream.value().data(), upstream.value().size(), 0);
}

}
