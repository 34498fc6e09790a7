#pragma once

#include "base/Units.h"

namespace lovagerock::retention {

// How long keys are kept and how fast expired ones are deleted.
struct SweeperSettings
{
  Duration mClaimLimit{ std::chrono::hours(24) };
  Duration mChangeLimit{ std::chrono::hours(7 * 24) };
  // Counts from the end of the job; for answers without a record, from when they were first seen.
  Duration mJobLimit{ std::chrono::hours(7 * 24) };
  // Upper bound of the jittered delay before the first run. A role that moves repeatedly would
  // otherwise read all names each time.
  Duration mFirstDelay{ std::chrono::minutes(5) };
  // From the end of a run to the start of the next one.
  Duration mInterval{ std::chrono::hours(1) };
  // Between the end of a transaction and the next one. The service takes several hundred writes a
  // second for all its users; this takes at most 5 of them.
  Duration mTransactionPeriod{ 200 };
  // Between the starts of two reads: at most 8 of the service's 2,000 a second.
  Duration mReadPeriod{ 125 };
  // Upper bound of the jittered delay before a failed call is repeated, and the number of failures
  // in a row that end the work.
  Duration mRetryDelay{ 10000 };
  int mMaxFailures = 6;
  // Largest answer of a listing with values, and of one with names. The memory that an answer takes
  // while it is read is about six times its size, and the whole sweep may use 16 MB.
  Bytes mPageLimit{ 1024 * 1024 };
  Bytes mNamesLimit{ 256 * 1024 };
  // Largest list of the accounts or of the pieces of one job: about 30,000 names.
  Bytes mLongNamesLimit{ 2 * 1024 * 1024 };
};

} // namespace lovagerock::retention
