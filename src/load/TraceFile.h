#pragma once

#include "base/Adjacency.h"

#include <istream>
#include <string>
#include <vector>

namespace lovagerock::load {

// One arrival of a recorded day. Times are in minutes of the trace.
struct TraceEntry
{
  double mMinute = 0;
  std::string mAccount;
  int mTasks = 1;
  int mAccelerators = 0;
  Adjacency mAdjacency = Adjacency::Region;
  double mRunMinutes = 0;
  double mEstimateMinutes = 0;
  // The service of a request; empty for a job.
  std::string mService;
  bool mUrgent = false;
};

// Reads a trace in the format of docs/load.md and orders it by time. On a malformed line it gives
// nothing and sets aProblem.
std::vector<TraceEntry>
ReadTraceFile(std::istream& aFile, std::string& aProblem);

} // namespace lovagerock::load
