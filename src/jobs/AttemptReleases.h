#pragma once

#include "jobs/GangStatus.h"
#include "jobs/JobRecord.h"
#include "workers/WorkerApi.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <system_error>

namespace lovagerock::jobs {

// Releases the leases of attempts, among them orphaned ones that belong to no job, and tracks which
// attempts were released and which are being checked. An attempt is identified by the prefix that
// the ids of its leases share.
template<workers::WorkerApi Api>
class AttemptReleases
{
public:
  // The views and the fence must outlive this object, which reads their current values.
  AttemptReleases(Api& aApi, const WorkerViews& aViews, const workers::Fence& aFence)
    : mApi(aApi)
    , mViews(aViews)
    , mFence(aFence)
  {
  }

  // Returns the part of a task's lease id that all tasks of its attempt share.
  static std::string Prefix(const LeaseId& aLease)
  {
    return aLease.Value().substr(0, aLease.Value().rfind('.') + 1);
  }

  // Examines the worker's job leases for which aIsManaged(lease) is false. Calls
  // aOnUnknown(prefix, job) for each attempt among them that was not released and is not being
  // checked yet; it is being checked until EndCheck(prefix). Repeats the release of an attempt
  // whose leases the worker still reports after kReleaseRetry.
  template<typename IsManaged, typename OnUnknown>
  void Check(const workers::WorkerView& aView, IsManaged aIsManaged, OnUnknown aOnUnknown)
  {
    std::map<std::string, JobId> attempts;
    for (const auto& it : aView.mState->mLeases) {
      if (it.mKind == workers::LeaseKind::Job && !aIsManaged(it)) {
        attempts.emplace(Prefix(it.mLease), it.mJob);
      }
    }
    for (const auto& [prefix, job] : attempts) {
      const auto released = mReleased.find(prefix);
      if (released == mReleased.end()) {
        if (mChecks.insert(prefix).second) {
          aOnUnknown(prefix, job);
        }
      } else if (Now() - released->second > kReleaseRetry) {
        ReleaseReported(prefix);
      }
    }
  }

  void EndCheck(const std::string& aPrefix) { mChecks.erase(aPrefix); }

  // Releases all leases of the record's attempt on the workers that its placements name.
  void Release(const JobRecord& aRecord)
  {
    if (aRecord.mPlacements.empty()) {
      return;
    }
    mReleased[Prefix(TaskLeaseId(aRecord, 0))] = Now();
    for (std::size_t i = 0; i < aRecord.mPlacements.size(); ++i) {
      mApi.Release(aRecord.mPlacements[i].mAddress, TaskLeaseId(aRecord, static_cast<int>(i)),
                   mFence, [](std::error_code) {});
    }
  }

  // Releases all leases of an attempt that any worker's last state reports.
  void ReleaseReported(const std::string& aPrefix)
  {
    mReleased[aPrefix] = Now();
    for (const auto& [id, view] : mViews) {
      if (!view.mState) {
        continue;
      }
      for (const auto& it : view.mState->mLeases) {
        if (it.mLease.Value().starts_with(aPrefix)) {
          mApi.Release(view.mAddress, it.mLease, mFence, [](std::error_code) {});
        }
      }
    }
  }

  // Forgets releases older than kReleaseRetention, whose leases no worker should report any more.
  void Expire()
  {
    std::erase_if(mReleased, [now = Now()](const auto& aEntry) {
      return now - aEntry.second > kReleaseRetention;
    });
  }

  // Forgets all releases and checks; called when the planner role ends.
  void Clear()
  {
    mChecks.clear();
    mReleased.clear();
  }

private:
  // A release is repeated if a worker still reports the lease after this time.
  static constexpr Duration kReleaseRetry{ 2000 };
  static constexpr Duration kReleaseRetention{ 60000 };

  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  Api& mApi;
  const WorkerViews& mViews;
  const workers::Fence& mFence;
  // Attempts whose job record is being read.
  std::set<std::string> mChecks;
  // When the leases of each attempt were released; workers report them for a short time after.
  std::map<std::string, TimePoint> mReleased;
};

} // namespace lovagerock::jobs
