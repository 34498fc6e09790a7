#pragma once

#include "base/Units.h"

namespace lovagerock::scheduler {

// Times that bound what the scheduler does.
struct SchedulerSettings
{
  // How long a worker runs on after a renewal of its lease, on its own clock.
  Duration mHold{ 6000 };
  // How much slower than ours a worker's clock may run, in hundredths.
  int mClockDriftPercent = 2;
  // For how long an earlier scheduler may go on without hearing from the store.
  Duration mAutonomy{ 7000 };
  // A start without an answer is sent again after this time.
  Duration mResendAfter{ 100 };
  // Starts without an answer before the run is stopped in place of started.
  int mMaxUnanswered = 3;
  // A stop without an answer is sent again after this time.
  Duration mStopAgainAfter{ 500 };
  // A worker that refused a start, or whose runs fail, gets no new work for this time.
  Duration mNoRoomPause{ 300 };
  Duration mUnhealthyPause{ 2000 };
  Duration mFailingPause{ 4000 };
  // Failed runs in a row, of several jobs, after which a worker counts as failing.
  int mFailingAfter = 2;
  // The least time that a draining worker still serves.
  Duration mDrain{ 2000 };
  // Room is gathered for tasks that must start together once they have waited for this time, and
  // for this many such steps at once.
  Duration mGatherAfter{ 1000 };
  int mMaxGathering = 2;
  // For how long resources stay reserved for work whose room is being made.
  Duration mReservation{ 1500 };
  // A job's data is kept this long after its end.
  Duration mKeepFinished{ 180000 };
};

} // namespace lovagerock::scheduler
