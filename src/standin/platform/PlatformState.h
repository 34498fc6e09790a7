#pragma once

#include "standin/platform/GangTable.h"
#include "standin/platform/JobTable.h"
#include "standin/platform/RunLedger.h"
#include "standin/platform/StartWaits.h"

namespace lovagerock::standin {

// What all workers of a platform share.
struct PlatformState
{
  explicit PlatformState(EventLoop& aLoop)
    : mGangs(aLoop)
  {
  }

  RunLedger mLedger;
  JobTable mJobs;
  GangTable mGangs;
  StartWaits mWaits;
};

} // namespace lovagerock::standin
