#include "bench/BaselinePolicy.h"

#include "placement/GuaranteeAssigner.h"
#include "placement/PlanContext.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace lovagerock::placement::replay {

namespace detail {
namespace {

ResourceVector
Available(const ClusterModel& aModel, const GangNeed& aNeed, int aWorker)
{
  return aNeed.mIsPinned ? aModel.Pinnable(aWorker) : aModel.Free(aWorker);
}

// Returns a placement in the first domain that holds the whole gang, in the baseline's order of
// domains and workers; empty if no domain does.
Placement
FindPlacement(const ClusterModel& aModel, const GangNeed& aNeed, Baseline aBaseline)
{
  auto domains = aModel.GetTopology().Domains(aNeed.mAdjacency);
  if (aBaseline == Baseline::BestFit) {
    const auto free = [&](int aWorker) {
      return aModel.Free(aWorker)[ResourceVector::kAccelerators];
    };
    for (auto& it : domains) {
      std::ranges::stable_sort(it, {}, free);
    }
    std::ranges::stable_sort(domains, {}, [&](const std::vector<int>& aWorkers) {
      return std::transform_reduce(aWorkers.begin(), aWorkers.end(), 0, std::plus<>(), free);
    });
  }
  for (const auto& workers : domains) {
    Placement placement;
    for (const int it : workers) {
      const int left = aNeed.mTasks - static_cast<int>(placement.size());
      const int n = Available(aModel, aNeed, it).CountFitting(aNeed.mPerTask, left);
      placement.insert(placement.end(), n, it);
      if (n == left) {
        return placement;
      }
    }
  }
  return {};
}

// Starts the job on its account's assigned capacity, or plans the reclaim of borrowers there and
// lets the job wait for it. Returns false if neither makes enough room.
bool
StartOnAssignedCapacity(PlanContext& aContext, QueuedJob& aJob)
{
  auto& model = aContext.mModel;
  const auto& need = aJob.mNeed;
  if (const auto found = aContext.mSearch.FindOwn(need); !found.empty()) {
    aContext.Start(aJob, found, CapacityClass::Guaranteed);
    return true;
  }
  ReclaimSearch search(model, aContext.mSnapshot.mNow);
  const auto choice = search.Find(
    need, aContext.OwnDomains(need.mAccount, need.mAdjacency),
    [&](int aWorker) { return model.ShareLeft(aWorker, need.mAccount); },
    [](const Borrower&) { return true; });
  if (!choice) {
    return false;
  }
  aContext.ReclaimAll(choice->mBorrowers, ReclaimReason::Guarantee, aJob.mJob->mJob, ServiceId());
  for (const int it : choice->mPlacement) {
    model.EarmarkGuaranteed(it, need.mAccount, need.mPerTask);
  }
  aContext.Wait(aJob, WaitReason::WaitingForReclaim, "");
  return true;
}

std::vector<QueuedJob>
QueueJobs(PlanContext& aContext)
{
  std::vector<QueuedJob> queue;
  for (const auto& it : aContext.mSnapshot.mJobs) {
    QueuedJob job;
    job.mJob = &it;
    job.mNeed.mPerTask = ResourceVector(it.mResourcesPerTask);
    job.mNeed.mTasks = it.mTasks;
    job.mNeed.mAdjacency = it.mAdjacency;
    job.mNeed.mAccount = aContext.mModel.FindAccount(it.mAccount).value_or(-1);
    job.mNeed.mIsPinned = !it.mIdempotent;
    job.mTotal = job.mNeed.mPerTask * it.mTasks;
    if (!aContext.mSearch.FitsEmptyCluster(job.mNeed)) {
      aContext.mPlan.mRefused.push_back({ it.mJob, RefusalReason::CanNeverRun, "" });
    } else {
      queue.push_back(std::move(job));
    }
  }
  std::ranges::stable_sort(queue, {}, [](const QueuedJob& aJob) { return aJob.mJob->mSubmitted; });
  return queue;
}

} // namespace
} // namespace detail

Plan
ComputeBaseline(const ClusterSnapshot& aSnapshot, PlannerState& aState, Baseline aBaseline)
{
  PlanContext context(aSnapshot, aState);
  auto& model = context.mModel;
  context.mPlan.mUnassigned =
    GuaranteeAssigner(aSnapshot.mWorkers, model.GetTopology(), model.Usable())
      .Assign(aSnapshot.mAccounts, aState.mAssignment);
  model.ApplyAssignment(aState.mAssignment);
  auto queue = detail::QueueJobs(context);
  for (auto& it : queue) {
    if (!model.OwnWorkers(it.mNeed.mAccount).empty()) {
      detail::StartOnAssignedCapacity(context, it);
    }
  }
  for (auto& it : queue) {
    if (it.mIsSettled) {
      continue;
    }
    const auto found = detail::FindPlacement(model, it.mNeed, aBaseline);
    if (!found.empty()) {
      context.Start(it, found, CapacityClass::Borrowed);
    } else if (aBaseline == Baseline::FirstFit) {
      break;
    }
  }
  return std::move(context.mPlan);
}

} // namespace lovagerock::placement::replay
