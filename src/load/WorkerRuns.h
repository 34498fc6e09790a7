#pragma once

#include "base/Json.h"

#include <cstdint>
#include <istream>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace lovagerock::load {

// One start of a request or task at a worker.
struct WorkerRun
{
  static constexpr double kOpen = std::numeric_limits<double>::infinity();

  // Times as the worker wrote them; kOpen if no end was written.
  double mStart = 0;
  double mEnd = kOpen;
  std::string mOutcome;
  bool mIdempotent = true;
  int mTasks = 1;
};

// All runs of the workers' trace files, by what ran.
struct WorkerRuns
{
  // By request id as the workers know it: the id that the entry node tells its caller, with
  // ".<attempt>" appended.
  std::map<std::string, std::vector<WorkerRun>> mRequests;
  // Number of starts by the token of the payload, over all request ids and entry nodes.
  std::map<std::string, std::size_t> mTokenStarts;
  // By job, attempt and task.
  std::map<std::string, std::map<std::int64_t, std::map<int, std::vector<WorkerRun>>>> mJobs;

  // Reads one file; false with aProblem set on a malformed line. A cut last line, as a killed
  // worker leaves it, is ignored.
  bool Read(std::istream& aFile, std::string& aProblem);
};

// The request id without the number of the node's attempt.
std::string
BaseRequestId(const std::string& aId);

} // namespace lovagerock::load
