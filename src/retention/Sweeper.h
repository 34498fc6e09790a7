#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "retention/JobSweep.h"
#include "retention/KeySweep.h"
#include "retention/RateLimitedCalls.h"
#include "retention/RecordExpiry.h"
#include "retention/SweeperSettings.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Deletes expired keys from the key-value service: claims, change records, done jobs with their
// answers, and answers of jobs that have no record. Runs between Start() and Stop(), on the node
// that has the region's planner role. Every transaction compares the versions that were read, so
// that a sweeper that has lost the role, or two sweepers at once, delete no key that is in use. To
// be used on the thread of its event loop only.
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
    , mKeySweep(mCalls, aRandom, mReport)
    , mJobSweep(mCalls, aRandom, std::move(aRegion), mSettings, mClock, mReport)
  {
  }
  Sweeper(const Sweeper&) = delete;
  Sweeper& operator=(const Sweeper&) = delete;

  // Called when the node takes the planner role. The first run starts after a jittered delay. Does
  // nothing if already started.
  void Start()
  {
    if (!mStarted) {
      mStarted = true;
      mCalls.Open();
      mTimer = mLoop.After(mRandom.Jitter(mSettings.mFirstDelay), [this] { Run(); });
    }
  }

  // Called when the node loses the planner role. Sends no further call and doesn't wait for a call
  // in flight.
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
  // Returns the report of the last run that ended; nullopt if none has ended yet.
  const std::optional<SweepReport>& LastReport() const { return mLastReport; }

private:
  using Finder = std::vector<Deletion> (*)(const std::vector<kv::Entry>&, Duration, std::int64_t,
                                           FirstSeenTimes&);
  // The characters of claim names, which are hashes, and those of change ids.
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

  // Continues with aNext unless a delete failed. A failed read ends only the sweep of its kind of
  // keys, because the other kinds must still be deleted.
  void EndPart(const SweepOutcome& aOutcome, const std::function<void()>& aNext)
  {
    if (aOutcome.mKind != SweepOutcome::Kind::Complete) {
      mReport.mReason = aOutcome.mReason;
    }
    if (aOutcome.mKind == SweepOutcome::Kind::DeleteFailed) {
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
                           { SweepOutcome::Kind::ReadFailed, "list claims/: " + aError.message() },
                           [this] { SweepChanges(); });
                         return;
                       }
                       mAccounts = std::move(aAccounts.mNames);
                       mPartComplete = true;
                       SweepAccount();
                     });
  }

  void SweepAccount()
  {
    if (mAccounts.empty()) {
      mSeenClaims.EndPass(mPartComplete);
      SweepChanges();
      return;
    }
    const auto account = std::move(mAccounts.back());
    mAccounts.pop_back();
    SweepKeys(account, PrefixPager("", kHashAlphabet, mSettings.mPageLimit), &FindExpiredClaims,
              mSettings.mClaimRetention, mSeenClaims, [this] { SweepAccount(); });
  }

  void SweepChanges()
  {
    mPartComplete = true;
    SweepKeys("changes/", PrefixPager("c-", kIdAlphabet, mSettings.mPageLimit), &FindExpiredChanges,
              mSettings.mChangeRetention, mSeenChanges, [this] {
                mSeenChanges.EndPass(mPartComplete);
                SweepJobs();
              });
  }

  void SweepKeys(const std::string& aBase, PrefixPager aPager, Finder aFinder, Duration aRetention,
                 FirstSeenTimes& aSeen, const std::function<void()>& aNext)
  {
    mKeySweep.Run(
      aBase, std::move(aPager),
      [this, aFinder, aRetention, &aSeen](const std::vector<kv::Entry>& aEntries) {
        return aFinder(aEntries, aRetention, mClock(), aSeen);
      },
      [this, aNext](const SweepOutcome& aOutcome) {
        mPartComplete = mPartComplete && aOutcome.mKind == SweepOutcome::Kind::Complete;
        EndPart(aOutcome, aNext);
      });
  }

  void SweepJobs()
  {
    mJobSweep.Run(
      [this](const SweepOutcome& aOutcome) { EndPart(aOutcome, [this] { EndRun(); }); });
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
  RateLimitedCalls<Store> mCalls;
  KeySweep<Store> mKeySweep;
  JobSweep<Store> mJobSweep;
  FirstSeenTimes mSeenClaims;
  FirstSeenTimes mSeenChanges;
  // Key prefixes of the client accounts whose claims are still to be read.
  std::vector<std::string> mAccounts;
  // Whether the sweep of the current kind of keys (claims or changes) has had no failure so far.
  bool mPartComplete = true;
  bool mStarted = false;
  bool mRunning = false;
  std::optional<SweepReport> mLastReport;
  Timer mTimer;
};

} // namespace lovagerock::retention
