#pragma once

#include "jobs/GangStatus.h"
#include "jobs/ManagedJob.h"
#include "placement/ClusterSnapshot.h"

#include <map>
#include <vector>

namespace lovagerock::jobs {

// The planner's input from the configuration in force.
struct PolicyInput
{
  std::vector<placement::AccountView> mAccounts;
  std::vector<placement::ServiceView> mServices;
  placement::PolicyWeights mWeights;
};

// The live jobs of a planner, by job id.
using ManagedJobs = std::map<JobId, ManagedJob>;

// Builds the planner's input. Includes reservations of starts in progress that the workers' states
// do not report yet.
placement::ClusterSnapshot
BuildSnapshot(const PolicyInput& aPolicy, const WorkerViews& aViews, const ManagedJobs& aJobs,
              bool aComplete, TimePoint aNow);

} // namespace lovagerock::jobs
