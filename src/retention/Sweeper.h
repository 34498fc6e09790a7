#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "retention/JobSweep.h"
#include "retention/KeySweep.h"
#include "retention/PacedCalls.h"
#include "retention/RecordExpiry.h"
#include "retention/SweeperSettings.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Deletes expired keys from the key-value service: claims, change records, done jobs with their
// answers, and answers of jobs that have no record. Runs only on the region's planner node, between
// Start() and Stop(). Every transaction compares the versions that were read, so that a sweeper
// whose role was lost or two of them at once do no harm. Belongs to its loop.
template<kv::KeyValueStore Store>
class Sweeper
{
public:
  Sweeper(EventLoop& aLoop, Store& aStore, Random& aRandom, RegionId aRegion,
          SweeperSettings aSettings, WallClock aClock = WallClockMs)
    : mLoop(aLoop)
    , mRandom(aRandom)
    , mSettings(aSettings)
    , mClock(std::move(aClock))
    , mCalls(aLoop, aStore, aRandom, mSettings, mReport)
    , mKeys(mCalls, aRandom, mReport)
    , mJobs(mCalls, aRandom, std::move(aRegion), mSettings, mClock, mReport)
  {
  }
  Sweeper(const Sweeper&) = delete;
  Sweeper& operator=(const Sweeper&) = delete;

  // The planner role is taken: the first run starts after a jittered delay. Does nothing if
  // already started.
  void Start()
  {
    if (!mStarted) {
      mStarted = true;
      mCalls.Open();
      mTimer = mLoop.After(mRandom.Jitter(mSettings.mFirstDelay), [this] { Run(); });
    }
  }

  // The planner role is lost: sends no further call. A call under way is not awaited.
  void Stop()
  {
    mStarted = false;
    mTimer.Cancel();
    mCalls.Close();
    if (mRunning) {
      mReport.mReason = "stopped";
      FinishReport();
    }
  }

  bool IsRunning() const { return mRunning; }
  // The last run that ended; nothing before that.
  const std::optional<SweepReport>& LastReport() const { return mLastReport; }

private:
  using Finder = std::vector<Deletion> (*)(const std::vector<kv::Entry>&, Duration, std::int64_t,
                                           FirstSeen&);
  // The characters of claims, which are hashes, and those of change ids.
  static constexpr std::string_view kHashAlphabet = "0123456789abcdef";
  static constexpr std::string_view kIdAlphabet =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

  void Run()
  {
    mRunning = true;
    mReport = {};
    mReport.mReason = "complete";
    SweepClaims();
  }

  // A failed read ends only the sweep of its kind of keys: it must not keep the others from being
  // deleted.
  void EndPart(const SweepEnd& aEnd, const std::function<void()>& aNext)
  {
    if (aEnd.mKind != SweepEnd::Kind::Complete) {
      mReport.mReason = aEnd.mReason;
    }
    if (aEnd.mKind == SweepEnd::Kind::DeleteFailed) {
      EndRun();
    } else {
      aNext();
    }
  }

  void SweepClaims()
  {
    mCalls.ListNames("claims/", "/", mSettings.mLongNamesLimit,
                     [this](std::error_code aError, kv::NameList aAccounts) {
                       if (aError) {
                         EndPart(
                           { SweepEnd::Kind::ReadFailed, "list claims/: " + aError.message() },
                           [this] { SweepChanges(); });
                         return;
                       }
                       mAccounts = std::move(aAccounts.mNames);
                       mComplete = true;
                       SweepAccount();
                     });
  }

  void SweepAccount()
  {
    if (mAccounts.empty()) {
      mSeenClaims.EndPass(mComplete);
      SweepChanges();
      return;
    }
    const auto account = std::move(mAccounts.back());
    mAccounts.pop_back();
    SweepKeys(account, PageWalk("", kHashAlphabet, mSettings.mPageLimit), &FindExpiredClaims,
              mSettings.mClaimLimit, mSeenClaims, [this] { SweepAccount(); });
  }

  void SweepChanges()
  {
    mComplete = true;
    SweepKeys("changes/", PageWalk("c-", kIdAlphabet, mSettings.mPageLimit), &FindExpiredChanges,
              mSettings.mChangeLimit, mSeenChanges, [this] {
                mSeenChanges.EndPass(mComplete);
                SweepJobs();
              });
  }

  void SweepKeys(const std::string& aBase, PageWalk aWalk, Finder aFinder, Duration aLimit,
                 FirstSeen& aSeen, const std::function<void()>& aNext)
  {
    mKeys.Run(
      aBase, std::move(aWalk),
      [this, aFinder, aLimit, &aSeen](const std::vector<kv::Entry>& aEntries) {
        return aFinder(aEntries, aLimit, mClock(), aSeen);
      },
      [this, aNext](const SweepEnd& aEnd) {
        mComplete = mComplete && aEnd.mKind == SweepEnd::Kind::Complete;
        EndPart(aEnd, aNext);
      });
  }

  void SweepJobs()
  {
    mJobs.Run([this](const SweepEnd& aEnd) { EndPart(aEnd, [this] { EndRun(); }); });
  }

  void EndRun()
  {
    mTimer = mLoop.After(mSettings.mInterval, [this] { Run(); });
    FinishReport();
  }

  void FinishReport()
  {
    mRunning = false;
    mReport.Log();
    mLastReport = mReport;
  }

  EventLoop& mLoop;
  Random& mRandom;
  SweeperSettings mSettings;
  WallClock mClock;
  SweepReport mReport;
  PacedCalls<Store> mCalls;
  KeySweep<Store> mKeys;
  JobSweep<Store> mJobs;
  FirstSeen mSeenClaims;
  FirstSeen mSeenChanges;
  // Prefixes of the accounts whose claims are still to be read.
  std::vector<std::string> mAccounts;
  // Whether all pages of the present kind were read.
  bool mComplete = true;
  bool mStarted = false;
  bool mRunning = false;
  std::optional<SweepReport> mLastReport;
  Timer mTimer;
};

} // namespace lovagerock::retention
