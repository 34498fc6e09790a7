#pragma once

#include "base/Units.h"

namespace lovagerock::retention {

// Retention times of keys, and the timing of the sweeper's runs. Durations are in milliseconds.
struct SweeperSettings
{
  Duration mClaimRetention{ std::chrono::hours(24) };
  Duration mChangeRetention{ std::chrono::hours(7 * 24) };
  // Counts from the end of the job; for answers of a job without a record, from when this sweeper
  // first saw them.
  Duration mJobRetention{ std::chrono::hours(7 * 24) };
  // Upper bound of the jittered delay before the first run. Without the delay, a planner role that
  // moves repeatedly between nodes would list all keys after each move.
  Duration mFirstDelay{ std::chrono::minutes(5) };
  // From the end of a run to the start of the next one.
  Duration mInterval{ std::chrono::hours(1) };
  // From the end of a transaction to the start of the next one. The key-value service takes several
  // hundred writes a second from all its clients; the sweeper sends at most 5 of them.
  Duration mTransactionPeriod{ 200 };
  // Between the starts of two reads. The sweeper sends at most 8 of the 2,000 reads a second that
  // the service takes.
  Duration mReadPeriod{ 125 };
  // Upper bound of the jittered delay before a failed call is repeated, and the number of
  // consecutive failures after which a call is not repeated: a failed read ends the sweep of its
  // kind of keys, a failed transaction ends the run.
  Duration mRetryDelay{ 10000 };
  int mMaxFailures = 6;
  // Largest response of a listing with values, and of one with key names only. Reading a response
  // takes about six times its size in memory, and the whole sweep may use 16 MB.
  Bytes mPageLimit{ 1024 * 1024 };
  Bytes mNamesLimit{ 256 * 1024 };
  // Largest list of the client accounts or of the answer pieces of one job: about 30,000 names.
  Bytes mLongNamesLimit{ 2 * 1024 * 1024 };
};

} // namespace lovagerock::retention
