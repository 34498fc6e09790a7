#include "node/PlannerViews.h"

#include <chrono>
#include <map>

namespace lovagerock::node {

namespace detail {
namespace {

std::int64_t
Milliseconds(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<Duration>(aTo - aFrom).count();
}

const char*
PhaseName(jobs::JobPhase aPhase)
{
  switch (aPhase) {
    case jobs::JobPhase::Queued:
      return "queued";
    case jobs::JobPhase::Starting:
      return "starting";
    case jobs::JobPhase::Running:
      return "running";
    case jobs::JobPhase::Stopping:
      return "stopping";
    case jobs::JobPhase::Writing:
      return "recording";
  }
  return "queued";
}

const char*
HealthName(workers::WorkerHealth aHealth)
{
  switch (aHealth) {
    case workers::WorkerHealth::Live:
      return "live";
    case workers::WorkerHealth::Suspected:
      return "suspected";
    case workers::WorkerHealth::Leaving:
      return "leaving";
  }
  return "suspected";
}

bool
HoldsResources(const workers::LeaseState& aLease)
{
  return aLease.mPhase == workers::LeasePhase::Reserved ||
         aLease.mPhase == workers::LeasePhase::Running ||
         aLease.mPhase == workers::LeasePhase::Stopping;
}

// Whether the lease is on capacity that is assigned to its account. The record of a job says so; a
// service lease has no record, and counts as guaranteed if it can't be reclaimed.
bool
IsGuaranteed(const jobs::ManagedJobs& aJobs, const workers::LeaseState& aLease)
{
  const auto it = aJobs.find(aLease.mJob);
  const auto task = static_cast<std::size_t>(aLease.mTask);
  if (it == aJobs.end() || task >= it->second.mRecord.mPlacements.size()) {
    return !aLease.mReclaimable;
  }
  return it->second.mRecord.mPlacements[task].mGuaranteed;
}

} // namespace
} // namespace detail

Json
DescribeQueues(const jobs::ManagedJobs& aJobs, TimePoint aNow)
{
  struct Counts
  {
    int mQueued = 0;
    int mRunning = 0;
  };
  std::map<AccountId, Counts> accounts;
  Json list = Json::array();
  for (const auto& [id, job] : aJobs) {
    const bool queued = job.mPhase == jobs::JobPhase::Queued;
    auto& counts = accounts[job.mRecord.mAccount];
    ++(queued ? counts.mQueued : counts.mRunning);
    list.push_back({ { "job", id.Value() },
                     { "account", job.mRecord.mAccount.Value() },
                     { "tasks", job.mRecord.mSpec.mTasks },
                     { "state", detail::PhaseName(job.mPhase) },
                     { "waiting_for", queued ? job.mWaitReason : "" },
                     { "waited_ms", queued ? detail::Milliseconds(job.mQueuedAt, aNow) : 0 } });
  }
  Json queues = Json::array();
  for (const auto& [account, counts] : accounts) {
    queues.push_back({ { "account", account.Value() },
                       { "service", "" },
                       { "queued", counts.mQueued },
                       { "running", counts.mRunning } });
  }
  return { { "queues", queues }, { "jobs", list } };
}

Json
DescribePlacements(const jobs::ManagedJobs& aJobs, const jobs::WorkerViews& aWorkers)
{
  Json list = Json::array();
  for (const auto& [id, view] : aWorkers) {
    for (const auto& it : view.mState->mLeases) {
      if (!detail::HoldsResources(it)) {
        continue;
      }
      list.push_back({ { "job", it.mJob.Value() },
                       { "service", it.mService.Value() },
                       { "account", it.mAccount.Value() },
                       { "worker", id.Value() },
                       { "zone", view.mState->mZone.Value() },
                       { "rack", view.mState->mRack.Value() },
                       { "accelerators", it.mResources.mAccelerators.Value() },
                       { "class", detail::IsGuaranteed(aJobs, it) ? "guaranteed" : "borrowed" },
                       { "phase", workers::LeasePhaseName(it.mPhase) } });
    }
  }
  return { { "placements", list } };
}

Json
DescribeWorkers(const jobs::WorkerViews& aWorkers)
{
  Json list = Json::array();
  for (const auto& [id, view] : aWorkers) {
    Resources used;
    for (const auto& it : view.mState->mLeases) {
      if (detail::HoldsResources(it)) {
        used += it.mResources;
      }
    }
    const auto total = view.mState->mCapacity.mAccelerators;
    list.push_back({ { "worker", id.Value() },
                     { "zone", view.mState->mZone.Value() },
                     { "rack", view.mState->mRack.Value() },
                     { "health", detail::HealthName(view.Health()) },
                     { "accelerators", total.Value() },
                     { "free_accelerators", (total - used.mAccelerators).Value() },
                     { "fence_epoch", view.mState->mFence.mEpoch } });
  }
  return { { "workers", list } };
}

Json
DescribeWhy(const jobs::ManagedJobs& aJobs, const JobId& aJob, TimePoint aNow)
{
  const auto it = aJobs.find(aJob);
  if (it == aJobs.end()) {
    return nullptr;
  }
  const auto& job = it->second;
  const bool queued = job.mPhase == jobs::JobPhase::Queued;
  std::string message = job.mWaitDetail;
  if (!queued) {
    message = "attempt " + std::to_string(job.mRecord.mAttempt);
  } else if (job.mWaitReason.empty()) {
    message = "not planned yet, waiting for " +
              std::to_string(detail::Milliseconds(job.mQueuedAt, aNow)) + " ms";
  }
  return { { "job", aJob.Value() },
           { "state", detail::PhaseName(job.mPhase) },
           { "reason", queued ? job.mWaitReason : "" },
           { "message", message } };
}

} // namespace lovagerock::node
