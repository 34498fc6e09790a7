#pragma once

#include "base/Units.h"

namespace lovagerock {

// The time since the machine started, which also counts while it is suspended. The monotonic clock
// of TimePoint doesn't; what must expire in real time is measured with this one.
Duration
BootTime();

} // namespace lovagerock
