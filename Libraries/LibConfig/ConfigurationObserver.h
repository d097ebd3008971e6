#pragma once

#include <LibCore/Ids.h>

namespace Lovageward {

/** Is told about changes of the configuration. */
class ConfigurationObserver
{
public:
    virtual ~ConfigurationObserver() = default;

    /** The configuration changed; `applied` is its newest offset. Called without any lock held, from the thread that applied it. */
    virtual void configurationChanged(Offset applied) = 0;
};

}
