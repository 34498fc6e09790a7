#pragma once

#include "integration/JobTraffic.h"

#include <chrono>

namespace lovagerock::integration {

// The workers of the deployment that the jobs are like.
WorkerFleet
DeploymentWorkers(int aCount);

// Draws jobs like those of a deployment: large and small gangs, many of which prefer one rack, and
// wide steps of independent tasks. Widths spread widely, and estimates are off.
TrafficJob
DrawDeploymentJob(Random& aRandom);

// The mean time for which a job takes an accelerator, summed over its tasks.
std::chrono::duration<double>
MeanAcceleratorTime();

// Jobs that come at random times, so many a second from all callers together, that they keep the
// part of the accelerators in use if none of them waits for another.
JobSource
DeploymentJobs(int aLoadPercent, const WorkerFleet& aWorkers, int aCallers);

} // namespace lovagerock::integration
