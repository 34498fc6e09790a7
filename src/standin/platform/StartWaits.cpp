#include "standin/platform/StartWaits.h"

#include <algorithm>
#include <chrono>

namespace lovagerock::standin {

void
StartWaits::OnAccepted(const std::string& aJob, TimePoint aNow)
{
  mAccepted.try_emplace(aJob, aNow);
}

void
StartWaits::OnStart(const std::string& aJob, TimePoint aNow)
{
  mStarted.try_emplace(aJob, aNow);
}

std::map<std::string, Duration>
StartWaits::Waits(TimePoint aNow) const
{
  std::map<std::string, Duration> waits;
  for (const auto& [job, acceptedAt] : mAccepted) {
    const auto it = mStarted.find(job);
    const auto end = it == mStarted.end() ? aNow : std::max(it->second, acceptedAt);
    waits[job] = std::chrono::duration_cast<Duration>(end - acceptedAt);
  }
  return waits;
}

} // namespace lovagerock::standin
