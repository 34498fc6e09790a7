#pragma once

#include "base/Units.h"
#include "scheduler/TaskRef.h"

#include <map>

namespace lovagerock::scheduler {

// Bounds how long each gang keeps free resources for itself: after a turn in vain it lets the steps
// behind it pass for a while before it gathers again. Its turns grow longer, so that a gang still
// starts although the runs that it waits for take longer than a turn.
//
// Others may take the resources all the while if nothing of them runs. Once a gang has gathered for
// aPassedTime, it has one turn that is protected from that.
class GatherTurns
{
public:
  GatherTurns(Duration aFirst, Duration aLongest, Duration aPause, Duration aPassedTime);

  // Whether the step has had its turn and lets others pass.
  bool IsPausing(const StepKey& aStep, TimePoint aNow) const;
  // Whether the step has its turn, and no others may pass.
  bool IsProtected(const StepKey& aStep, TimePoint aNow) const;
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
    // When the step began to gather, or its last protected turn began.
    TimePoint mPassedSince;
    bool mIsProtected = false;
  };

  Duration mFirst;
  Duration mLongest;
  Duration mPause;
  Duration mPassedTime;
  std::map<StepKey, Turn> mTurns;
};

} // namespace lovagerock::scheduler
