#pragma once

#include "base/Adjacency.h"
#include "base/Json.h"
#include "base/Resources.h"
#include "base/Units.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::jobs {

// The largest number of tasks in a gang.
inline constexpr int kMaxTasks = 512;
// The largest total size of a job's payloads; its record must fit into one value of the store.
inline constexpr Bytes kMaxPayload{ 512 * 1024 };

// A job as its caller specified it.
struct JobSpec
{
  int mTasks = 1;
  Resources mPerTask;
  Adjacency mAdjacency = Adjacency::Region;
  bool mUrgent = false;
  bool mIdempotent = true;
  // The caller's estimate of the run time, which is often far off; 0 if none was given.
  Duration mEstimate{ 0 };
  // One payload for all tasks, or one for each task.
  std::vector<std::string> mPayloads;

  // Returns the payload of one task.
  const std::string& PayloadOf(int aTask) const;
};

// A missing, unknown or invalid field of a submitted job.
struct SpecProblem
{
  std::string mField;
  std::string mMessage;
};

// Reads a job from a caller's JSON. Reports unknown fields as problems, so that a misspelled option
// is not silently ignored. Returns nullopt if there is any problem.
std::optional<JobSpec>
ReadJobSpec(const Json& aJson, std::vector<SpecProblem>& aProblems);

void
to_json(Json& aJson, const JobSpec& aSpec);

} // namespace lovagerock::jobs
