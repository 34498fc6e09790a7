#include "bench/GuaranteeDemands.h"

#include <algorithm>
#include <set>

namespace lovagerock::placement::replay {

void
GuaranteeDemands::Note(const ClusterSnapshot& aSnapshot, PlannerState& aState)
{
  if (aState.mAssignment.empty()) {
    return;
  }
  PlanContext context(aSnapshot, aState);
  context.mModel.ApplyAssignment(aState.mAssignment);
  std::vector<const PendingJob*> waiting;
  for (const auto& it : aSnapshot.mJobs) {
    waiting.push_back(&it);
  }
  std::ranges::stable_sort(waiting, {}, &PendingJob::mSubmitted);
  NoteDemanded(context, waiting);
  NoteBlocked(context, waiting);
}

void
GuaranteeDemands::NoteDemanded(const PlanContext& aContext, std::vector<const PendingJob*> aWaiting)
{
  std::ranges::stable_sort(aWaiting, {},
                           [&](const PendingJob* aJob) { return !mDemanded.contains(aJob->mJob); });
  const auto left = [&](int aWorker, int aAccount) {
    return aContext.mModel.ShareLeft(aWorker, aAccount);
  };
  Shares taken;
  for (const auto* it : aWaiting) {
    Set(mDemanded, it->mJob, TakeShare(aContext, *it, left, taken), aContext.mSnapshot.mNow);
  }
}

// Work that the account has on its own capacity without being guaranteed is its own use, and a job
// that fits the whole assigned capacity keeps the account's later ones waiting.
void
GuaranteeDemands::NoteBlocked(const PlanContext& aContext,
                              const std::vector<const PendingJob*>& aWaiting)
{
  const auto& model = aContext.mModel;
  const auto whole = [&](int aWorker, int aAccount) { return model.ShareOf(aWorker, aAccount); };
  const auto left = [&](int aWorker, int aAccount) {
    auto share = whole(aWorker, aAccount);
    for (const auto& it : model.Leases(aWorker)) {
      if (model.Borrowers()[it.mBorrower].mAccount == aAccount) {
        share -= it.mResources;
      }
    }
    return share;
  };
  Shares taken;
  std::set<AccountId> blocked;
  for (const auto* it : aWaiting) {
    const bool fits = !blocked.contains(it->mAccount) && TakeShare(aContext, *it, left, taken);
    Set(mBlocked, it->mJob, fits, aContext.mSnapshot.mNow);
    Shares none;
    if (!fits && TakeShare(aContext, *it, whole, none)) {
      blocked.insert(it->mAccount);
    }
  }
}

std::optional<TimePoint>
GuaranteeDemands::Find(const Times& aTimes, const JobId& aJob)
{
  const auto it = aTimes.find(aJob);
  return it == aTimes.end() ? std::nullopt : std::optional(it->second);
}

void
GuaranteeDemands::Set(Times& aTimes, const JobId& aJob, bool aDemands, TimePoint aNow)
{
  if (aDemands) {
    aTimes.try_emplace(aJob, aNow);
  } else {
    aTimes.erase(aJob);
  }
}

void
GuaranteeDemands::Forget(const JobId& aJob)
{
  mDemanded.erase(aJob);
  mBlocked.erase(aJob);
}

template<typename Left>
bool
GuaranteeDemands::TakeShare(const PlanContext& aContext, const PendingJob& aJob, const Left& aLeft,
                            Shares& aTaken)
{
  const int account = *aContext.mModel.FindAccount(aJob.mAccount);
  const ResourceVector each(aJob.mResourcesPerTask);
  for (const auto& workers : aContext.OwnDomains(account, aJob.mAdjacency)) {
    Placement placement;
    for (const int it : workers) {
      const auto left = aContext.mModel.IsUsable(it) ? aLeft(it, account) - aTaken[{ it, account }]
                                                     : ResourceVector();
      const int n = left.Fits(each, aJob.mTasks - static_cast<int>(placement.size()));
      placement.insert(placement.end(), n, it);
    }
    if (static_cast<int>(placement.size()) == aJob.mTasks) {
      for (const int it : placement) {
        aTaken[{ it, account }] += each;
      }
      return true;
    }
  }
  return false;
}

} // namespace lovagerock::placement::replay
