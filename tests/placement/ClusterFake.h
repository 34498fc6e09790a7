#pragma once

#include "placement/Planner.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::placement::tests {

// A guaranteed shape of whole workers in one rack.
inline Guarantee
RackOf(int aWorkers, int aCount = 1)
{
  return { "shape", aCount, aWorkers, Accelerators(8), Adjacency::Rack, std::nullopt };
}

// Applies plans to a snapshot as the workers would: starts and stops take effect at once, and each
// plan is checked against the capacity of the workers.
class ClusterFake
{
public:
  // Workers with 8 accelerators and slots each, 8 a rack, named w0, w1, ...
  explicit ClusterFake(int aWorkers, int aPerRack = 8);

  AccountView& AddAccount(const std::string& aName, std::vector<Guarantee> aGuarantees = {});
  PendingJob& Submit(const std::string& aAccount, int aTasks, int aAccelerators,
                     Adjacency aAdjacency = Adjacency::Region);
  // Plans, checks and applies. Stopped jobs are queued again.
  Plan Step();
  void Finish(const JobId& aJob);
  bool Runs(const JobId& aJob) const { return mRunning.contains(aJob); }
  const WaitingJob* Waits(const Plan& aPlan, const JobId& aJob) const;

  ClusterSnapshot mSnapshot;
  PlannerState mState;
  // Jobs that run, with their submission.
  std::map<JobId, PendingJob> mRunning;
  std::map<JobId, CapacityClass> mClass;

private:
  void Check(const Plan& aPlan) const;
  void Apply(const Plan& aPlan);
  void RemoveLeases(const std::vector<LeaseId>& aLeases);

  int mNext = 0;
};

} // namespace lovagerock::placement::tests
