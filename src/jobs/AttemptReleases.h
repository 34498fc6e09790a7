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

// Keeps which attempts were released and which are being checked, and releases the leases of
// attempts that no job has. Attempts are known by the prefix that the ids of their leases share.
template<workers::WorkerApi Api>
class AttemptReleases
{
public:
  // The views and the fence must outlive this object; their present values are used.
  AttemptReleases(Api& aApi, const WorkerViews& aViews, const workers::Fence& aFence)
    : mApi(aApi)
    , mViews(aViews)
    , mFence(aFence)
  {
  }

  // The part of a task's lease id that all tasks of its attempt share.
  static std::string Prefix(const LeaseId& aLease)
  {
    return aLease.Value().substr(0, aLease.Value().rfind('.') + 1);
  }

  // Looks at the worker's job leases for which aIsManaged(lease) is false. Calls
  // aOnUnknown(prefix, job) for each of their attempts that was not released and isn't being
  // checked yet, until EndCheck(prefix). Repeats a release that seems to be lost.
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
        ReleaseSeen(prefix);
      }
    }
  }

  void EndCheck(const std::string& aPrefix) { mChecks.erase(aPrefix); }

  // Releases all leases of the record's attempt at the workers where they were placed.
  void Release(const JobRecord& aRecord)
  {
    if (aRecord.mPlacements.empty()) {
      return;
    }
    mReleased[Prefix(TaskLease(aRecord, 0))] = Now();
    for (std::size_t i = 0; i < aRecord.mPlacements.size(); ++i) {
      mApi.Release(aRecord.mPlacements[i].mAddress, TaskLease(aRecord, static_cast<int>(i)), mFence,
                   [](std::error_code) {});
    }
  }

  // Releases all leases of an attempt, wherever they are seen.
  void ReleaseSeen(const std::string& aPrefix)
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

  // Forgets releases that no worker should show any more.
  void Expire()
  {
    std::erase_if(
      mReleased, [now = Now()](const auto& aEntry) { return now - aEntry.second > kKeepReleased; });
  }

  // Forgets everything, when the planner role ends.
  void Clear()
  {
    mChecks.clear();
    mReleased.clear();
  }

private:
  // A release that was lost is repeated after this time.
  static constexpr Duration kReleaseRetry{ 2000 };
  static constexpr Duration kKeepReleased{ 60000 };

  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  Api& mApi;
  const WorkerViews& mViews;
  const workers::Fence& mFence;
  // Attempts whose record is being read.
  std::set<std::string> mChecks;
  // Attempts whose leases were released, and when; workers show them for a little longer.
  std::map<std::string, TimePoint> mReleased;
};

} // namespace lovagerock::jobs
