#include "base/BootClock.h"

#include <ctime>

namespace lovagerock {

Duration
BootTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace lovagerock
