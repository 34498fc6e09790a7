#pragma once

#include "jobs/GangStatus.h"
#include "jobs/ManagedJob.h"
#include "placement/ClusterSnapshot.h"

#include <map>
#include <vector>

namespace lovagerock::jobs {

// What the configuration in force says to the planner.
struct PolicyInput
{
  std::vector<placement::AccountView> mAccounts;
  std::vector<placement::ServiceView> mServices;
  placement::PolicyWeights mWeights;
};

// The live jobs of a planner.
using ManagedJobs = std::map<JobId, ManagedJob>;

// Builds the planner's input. Reservations of starts in progress count although the workers'
// states don't show them yet.
placement::ClusterSnapshot
BuildSnapshot(const PolicyInput& aPolicy, const WorkerViews& aViews, const ManagedJobs& aJobs,
              bool aComplete, TimePoint aNow);

} // namespace lovagerock::jobs
