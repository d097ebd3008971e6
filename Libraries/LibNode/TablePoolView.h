#pragma once

#include <LibLease/PoolView.h>
#include <LibPolicy/UpstreamTable.h>

namespace Lovageward {

/** Engines of a pool from the upstream table. */
class TablePoolView final : public PoolView
{
public:
    explicit TablePoolView(const UpstreamTable &table);

    std::vector<PoolEngine> enginesOf(const PoolId &pool) const override;

private:
    const UpstreamTable &table;
};

}
