#pragma once

#include <LibCore/Ids.h>

#include <mutex>
#include <vector>

namespace Lovageward {

/** Is notified when this node learns of a higher era of the store, so that it can write its own records again. */
class StoreEraListener
{
public:
    virtual ~StoreEraListener() = default;
    /** Called from the thread that learned of the era. */
    virtual void onStoreEra(StoreEra era) = 0;
};

/**
 * The highest era of the store that this node has learned of, from the store or from a peer. Load pattern: a store that is restored from an older copy.
 * Thread-safe; its mutex is a leaf lock and isn't held during notifications.
 */
class StoreEraTracker
{
public:
    /** Records an era. Notifies the listeners if it is higher than all before. */
    void record(StoreEra era);

    StoreEra current() const;

    /** The listener has to outlive the tracker's use. */
    void addListener(StoreEraListener &listener);

private:
    mutable std::mutex mutex;
    StoreEra highest;
    std::vector<StoreEraListener *> listeners;
};

}
