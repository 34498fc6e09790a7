#pragma once

#include "base/Units.h"

namespace lovagerock::retention {

// How long keys are kept and how fast expired ones are deleted.
struct SweeperSettings
{
  Duration mClaimLimit{ std::chrono::hours(24) };
  Duration mChangeLimit{ std::chrono::hours(7 * 24) };
  // Counts from the end of the job; for unreferenced answer pieces, from when they were first seen.
  Duration mJobLimit{ std::chrono::hours(7 * 24) };
  // Upper bound of the jittered delay before the first run. A role that moves repeatedly would
  // otherwise list all keys each time.
  Duration mFirstDelay{ std::chrono::minutes(5) };
  // From the end of a run to the start of the next one.
  Duration mInterval{ std::chrono::hours(1) };
  // Between the end of a transaction and the next one. The service takes several hundred writes a
  // second for all its users; this takes at most 5 of them.
  Duration mTransactionPeriod{ 200 };
  // Upper bound of the jittered delay before a failed call is repeated, and the number of failures
  // in a row that end the run.
  Duration mRetryDelay{ 10000 };
  int mMaxFailures = 6;
};

} // namespace lovagerock::retention
