#pragma once

#include "base/Json.h"
#include "jobs/GangStatus.h"
#include "jobs/SnapshotBuilder.h"

namespace lovagerock::node {

// The planner's part of the operators' API, as JSON. Which of the jobs, services and workers there
// are and what they wait for is known to the region's planner only.
Json
DescribeQueues(const jobs::ManagedJobs& aJobs, TimePoint aNow);
Json
DescribePlacements(const jobs::ManagedJobs& aJobs, const jobs::WorkerViews& aWorkers);
Json
DescribeWorkers(const jobs::WorkerViews& aWorkers);

// Why a live job waits, or where it stands; null if the planner has no such job.
Json
DescribeWhy(const jobs::ManagedJobs& aJobs, const JobId& aJob, TimePoint aNow);

} // namespace lovagerock::node
