#pragma once

#include <LibCore/Ids.h>

#include <string>

namespace Lovageward {

/** The platform's store of model weights. Engines load from it themselves; only its rate limit concerns us. */
class WeightStore
{
public:
    virtual ~WeightStore() = default;

    /** Bytes that one engine loads for the model or adapter. Doesn't block; returns an estimate if the size isn't known. */
    virtual ByteCount sizeOf(const ModelId &model, const std::string &adapterOrVersion) const = 0;
};

}
