#pragma once

#include <LibLease/PoolView.h>
#include <LibPolicy/UpstreamTable.h>

namespace Lovageward {

/** Looks up the engines of a pool in the upstream table. */
class TablePoolView final : public PoolView
{
public:
    explicit TablePoolView(const UpstreamTable &table);

    std::vector<PoolEngine> enginesOf(const PoolId &pool) const override;

private:
    const UpstreamTable &table;
};

}
