#pragma once

#include "base/Units.h"
#include "scheduler/Capacity.h"

namespace lovagerock::scheduler {

// What a step needs, and how many of its tasks fit under which conditions, for the log.
struct RoomReport
{
  bool mIsGang = false;
  // Whether the step asks for one rack.
  bool mIsRackLocal = false;
  // The demand of one task.
  Capacity mDemand;
  // The workers of the service that are registered and not draining. Some of them may not be
  // chosen, because they haven't answered, are avoided or lack the required label.
  int mRegistered = 0;
  // The workers that may be chosen.
  int mWorkers = 0;
  // The tasks that fit now; for a rack-bound step the most of any rack.
  int mFitting = 0;
  // The same in all racks together.
  int mFittingSpread = 0;
  // The same, and nothing were kept for other steps.
  int mFittingUnreserved = 0;
  // The same, also on workers that are avoided.
  int mFittingUnavoided = 0;
  // The tasks that would fit if the workers were idle; for a rack-bound step the most of any rack.
  int mFittingIdle = 0;
  // The accelerators of the workers that may be chosen.
  Accelerators mAccelerators;
  // The part of the service that was in use when the plan began, see Placer::UsedPart().
  int mUsedPercent = 0;
};

} // namespace lovagerock::scheduler
