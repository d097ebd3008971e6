#pragma once

#include <LibLease/WeightStore.h>

namespace Lovageward {

/** Weight store whose sizes aren't published: every load counts with the same estimate. */
class UniformWeightStore final : public WeightStore
{
public:
    explicit UniformWeightStore(ByteCount estimate) : estimate(estimate)
    {
    }

    ByteCount sizeOf(const ModelId & /*model*/, const std::string & /*adapterOrVersion*/) const override
    {
        return this->estimate;
    }

private:
    ByteCount estimate;
};

}
