#include <LibNode/TablePoolView.h>

namespace Lovageward {

TablePoolView::TablePoolView(const UpstreamTable &table) : table(table)
{
}

std::vector<PoolEngine> TablePoolView::enginesOf(const PoolId &pool) const
{
    std::vector<PoolEngine> engines;
    for (const auto &state : this->table.upstreamsOf(pool)) {
        PoolEngine engine;
        engine.upstream = state.id;
        engine.isWarm = state.report.phase == UpstreamPhase::Warm;
        engine.isLeaving = state.report.phase == UpstreamPhase::Leaving;
        engine.measuredAt = state.report.measuredAt;
        engines.push_back(engine);
    }
    return engines;
}

}
