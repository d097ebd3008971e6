#pragma once

#include <LibLease/WeightStore.h>

namespace Lovageward {

/** WeightStore for a platform that doesn't publish the sizes of its weights. Returns the same estimate for every model. */
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
