#include "standin/worker/TaskRunner.h"

#include <algorithm>

namespace lovagerock::standin {

TaskRunner::TaskRunner(Duration aTotal, Duration aDone, TimePoint aNow)
  : mTotal(aTotal)
  , mDone(std::clamp(aDone, Duration(0), aTotal))
  , mSince(aNow)
{
}

void
TaskRunner::SetSpeed(int aPercent, TimePoint aNow)
{
  mDone = Progress(aNow);
  mSince = aNow;
  mPercent = std::clamp(aPercent, 0, 100);
}

Duration
TaskRunner::Progress(TimePoint aNow) const
{
  const auto elapsed = std::chrono::duration_cast<Duration>(aNow - mSince);
  return std::min(mTotal, mDone + elapsed * mPercent / 100);
}

std::optional<TimePoint>
TaskRunner::EndsAt() const
{
  if (mDone >= mTotal) {
    return mSince;
  }
  if (mPercent == 0) {
    return std::nullopt;
  }
  return mSince + (mTotal - mDone) * 100 / mPercent;
}

} // namespace lovagerock::standin
