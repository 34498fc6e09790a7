#include "base/PauseWatch.h"

#include <utility>

namespace lovagerock {

namespace detail {
namespace {

// Checks within the limit; the limit counts from the last one.
constexpr int kChecksPerLimit = 4;

} // namespace
} // namespace detail

PauseWatch::PauseWatch(EventLoop& aLoop, Duration aLimit, std::function<void(Duration)> aOnResumed)
  : mLimit(aLimit)
  , mOnResumed(std::move(aOnResumed))
  , mTimer(aLoop.Every(aLimit / detail::kChecksPerLimit, [this] { Check(); }))
{
}

bool
PauseWatch::IsUnnoticed() const
{
  return std::chrono::steady_clock::now() - mLast > mLimit;
}

void
PauseWatch::Check()
{
  const auto now = std::chrono::steady_clock::now();
  const auto pause = std::chrono::duration_cast<Duration>(now - std::exchange(mLast, now));
  if (pause > mLimit) {
    mOnResumed(pause);
  }
}

} // namespace lovagerock
