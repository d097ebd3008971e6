#include <LibMembership/ProbeOrder.h>

#include <utility>

namespace Lovageward {

void ProbeOrder::restart(std::vector<HostId> hosts)
{
    this->order.clear();
    this->nextPosition = 0;
    this->added = std::move(hosts);
}

void ProbeOrder::add(const HostId &host)
{
    this->added.push_back(host);
}

std::optional<HostId> ProbeOrder::next(RandomSource &random)
{
    for (const auto &host : this->added) {
        auto place = this->nextPosition + random.below(this->order.size() - this->nextPosition + 1);
        this->order.insert(this->order.begin() + static_cast<std::ptrdiff_t>(place), host);
    }
    this->added.clear();
    if (this->nextPosition >= this->order.size()) {
        return std::nullopt;
    }
    return this->order[this->nextPosition++];
}

}
