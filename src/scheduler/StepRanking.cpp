#include "scheduler/StepRanking.h"

#include <tuple>

namespace lovagerock::scheduler {

namespace {

// A job is worthless if it is expected to take longer than this many times the time from its
// acceptance to its objective.
constexpr int kWorthlessFactor = 3;

// Whether at least half of the step's tasks are done. The few tasks that are left, most of them
// because their runs were lost, hold back the results of all others.
bool
IsMostlyDone(const Step& aStep)
{
  return 2 * aStep.mDone >= aStep.mCount;
}

// Returns what decides, in this order.
auto
Keys(const StepRank& aRank)
{
  const int accountLevel = aRank.mClass == Entitled ? 0 : aRank.mAccountLevel;
  return std::tuple(aRank.mClass != Entitled, !aRank.mIsProtected, aRank.mClass == Worthless,
                    aRank.mPriority, aRank.mClass, accountLevel, aRank.mObjective);
}

} // namespace

PlanClass
ClassOfJob(const JobTimes& aTimes)
{
  const auto allowedTime = aTimes.mObjective - aTimes.mAcceptedAt;
  if (aTimes.mExpectedEnd > aTimes.mAcceptedAt + allowedTime * kWorthlessFactor) {
    return Worthless;
  }
  return aTimes.mExpectedEnd > aTimes.mObjective ? Late : InTime;
}

PlanClass
ClassOfStep(PlanClass aJobClass, const Step& aStep)
{
  return aJobClass == Late && IsMostlyDone(aStep) ? InTime : aJobClass;
}

bool
ComesBefore(const StepRank& aLeft, const StepRank& aRight)
{
  const auto left = Keys(aLeft);
  const auto right = Keys(aRight);
  return left != right ? left < right : aLeft.mKey < aRight.mKey;
}

} // namespace lovagerock::scheduler
