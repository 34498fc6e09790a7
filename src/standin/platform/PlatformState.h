#pragma once

#include "standin/platform/JobTable.h"
#include "standin/platform/RunLedger.h"

namespace lovagerock::standin {

// What all workers of a platform share.
struct PlatformState
{
  RunLedger mLedger;
  JobTable mJobs;
};

} // namespace lovagerock::standin
