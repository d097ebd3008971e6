#pragma once

#include <LibCore/Clock.h>

namespace Lovageward {

/** Clock of the operating system. */
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

}
