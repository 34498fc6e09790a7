#pragma once

#include "base/Units.h"
#include "scheduler/TaskRef.h"

#include <map>

namespace lovagerock::scheduler {

// Bounds how long each gang keeps free resources for itself: after a turn in vain it lets the steps
// behind it pass for a while before it gathers again. Its turns grow longer, so that a gang still
// starts although the runs that it waits for take longer than a turn.
class GatherTurns
{
public:
  GatherTurns(Duration aFirst, Duration aLongest, Duration aPause);

  // Whether the step has had its turn and lets others pass.
  bool IsPausing(const StepKey& aStep, TimePoint aNow) const;
  // The step gathers now. Begins its next turn if the last one is over.
  void OnGathered(const StepKey& aStep, TimePoint aNow);
  // Forgets the steps that haven't gathered for a while.
  void Prune(TimePoint aNow);

private:
  struct Turn
  {
    TimePoint mBegan;
    Duration mLength{ 0 };
    TimePoint mLastGathered;
  };

  Duration mFirst;
  Duration mLongest;
  Duration mPause;
  std::map<StepKey, Turn> mTurns;
};

} // namespace lovagerock::scheduler
