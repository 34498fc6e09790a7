#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "retention/DeletionQueue.h"
#include "retention/JobListing.h"
#include "retention/RecordExpiry.h"
#include "retention/SweeperSettings.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Deletes expired keys from the key-value service: claims, change records, done jobs with their
// answers, and answer pieces that no record refers to. Runs only on the region's planner node,
// between Start() and Stop(). Every delete compares the version that was listed, so that a sweeper
// whose role was lost or two of them at once do no harm. Belongs to its loop.
template<kv::KeyValueStore Store>
class Sweeper
{
public:
  Sweeper(EventLoop& aLoop, Store& aStore, Random& aRandom, RegionId aRegion,
          SweeperSettings aSettings, WallClock aClock = WallClockMs)
    : mLoop(aLoop)
    , mStore(aStore)
    , mRandom(aRandom)
    , mRegion(std::move(aRegion))
    , mSettings(aSettings)
    , mClock(std::move(aClock))
  {
  }

  // The planner role is taken: the first run starts after a jittered delay. Does nothing if
  // already started.
  void Start()
  {
    if (!mRole) {
      mRole = std::make_shared<int>();
      mTimer = mLoop.After(mRandom.Jitter(mSettings.mFirstDelay), [this] { Run(); });
    }
  }

  // The planner role is lost: sends no further call. A call under way is not awaited.
  void Stop()
  {
    mTimer.Cancel();
    mRole.reset();
    mJobs = {};
    mQueue.Fill({});
    if (mRunning) {
      mReport.mReason = "stopped";
      FinishReport();
    }
  }

  bool IsRunning() const { return mRunning; }
  // The last run that ended; nothing before that.
  const std::optional<SweepReport>& LastReport() const { return mLastReport; }

private:
  enum class Phase
  {
    Claims,
    Changes,
    Jobs,
  };

  // Wraps a callback so that it is dropped once the role is lost or the sweeper is destroyed.
  template<typename Function>
  auto Guarded(Function aFunction)
  {
    return [weak = std::weak_ptr(mRole), function = std::move(aFunction)](auto&&... aArguments) {
      if (!weak.expired()) {
        function(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

  void Run()
  {
    mRunning = true;
    mReport = {};
    mReport.mReason = "complete";
    mPhase = Phase::Claims;
    SweepClaims();
  }

  void SweepClaims()
  {
    List("claims/", [this](const std::vector<kv::Entry>& aEntries) {
      Delete(FindExpiredClaims(aEntries, mSettings.mClaimLimit, mClock(), mSeenClaims));
    });
  }

  void SweepChanges()
  {
    List("changes/", [this](const std::vector<kv::Entry>& aEntries) {
      Delete(FindExpiredChanges(aEntries, mSettings.mChangeLimit, mClock(), mSeenChanges));
    });
  }

  // The order of the listings matters; see JobListing.
  void SweepJobs()
  {
    mJobs = {};
    List("answers/", [this](const std::vector<kv::Entry>& aPieces) {
      mJobs.AddPieces(aPieces);
      List("jobs/", [this](const std::vector<kv::Entry>& aLive) {
        mJobs.AddLive(aLive);
        List("done/", [this](const std::vector<kv::Entry>& aDone) {
          mJobs.AddDone(aDone);
          Delete(std::exchange(mJobs, {}).FindExpired(mRegion, mSettings.mJobLimit, mClock(),
                                                      mSeenJobs));
        });
      });
    });
  }

  // A failed listing ends the phase only: it may fail each time because of its size, and must not
  // keep the other keys from being deleted.
  template<typename Function>
  void List(const std::string& aPrefix, Function aFunction)
  {
    mStore.List(aPrefix, Guarded([this, aPrefix, aFunction](
                                   std::error_code aError, const std::vector<kv::Entry>& aEntries) {
                  if (aError) {
                    ++mReport.mFailures;
                    mReport.mReason = "list " + aPrefix + ": " + aError.message();
                    EndPhase();
                    return;
                  }
                  mReport.mListed += static_cast<std::int64_t>(aEntries.size());
                  aFunction(aEntries);
                }));
  }

  void Delete(std::vector<Deletion> aDeletions)
  {
    mQueue.Fill(std::move(aDeletions));
    mFailures = 0;
    Continue(Duration(0));
  }

  // Sends the next transaction, if there is one, after the delay and when the rate allows it.
  void Continue(Duration aDelay)
  {
    if (mQueue.IsEmpty()) {
      EndPhase();
    } else {
      // Rounded up, because a truncated wait would be shorter than the period.
      const auto wait =
        std::chrono::ceil<Duration>(mNextTransaction - std::chrono::steady_clock::now());
      mTimer = mLoop.After(std::max(aDelay, wait), [this] { Transact(); });
    }
  }

  void Transact()
  {
    ++mReport.mTransactions;
    HoldBack();
    mStore.Transact(
      mQueue.Batch(), Guarded([this](std::error_code aError, const kv::TransactionResult& aResult) {
        HoldBack();
        const bool isRefused = !aError && !aResult.mApplied && !aResult.mFailed.empty();
        if (!aError && aResult.mApplied) {
          mQueue.Applied(mReport);
        } else if (isRefused) {
          mQueue.Refused(aResult.mFailed, mReport);
        } else {
          OnFailure(aError ? aError.message() : "refused without a reason");
          return;
        }
        mFailures = 0;
        Continue(Duration(0));
      }));
  }

  // Allows the next transaction one period from now, in whatever phase, run or role it is.
  void HoldBack()
  {
    mNextTransaction = std::chrono::steady_clock::now() + mSettings.mTransactionPeriod;
  }

  // The same transaction is repeated: what a lost answer hides is told by the comparisons.
  void OnFailure(const std::string& aMessage)
  {
    ++mReport.mFailures;
    if (++mFailures < mSettings.mMaxFailures) {
      Continue(mRandom.Jitter(mSettings.mRetryDelay));
      return;
    }
    mQueue.Fill({});
    mReport.mReason = "delete: " + aMessage;
    EndRun();
  }

  void EndPhase()
  {
    switch (mPhase) {
      case Phase::Claims:
        mPhase = Phase::Changes;
        SweepChanges();
        break;
      case Phase::Changes:
        mPhase = Phase::Jobs;
        SweepJobs();
        break;
      case Phase::Jobs:
        EndRun();
        break;
    }
  }

  void EndRun()
  {
    mJobs = {};
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
  Store& mStore;
  Random& mRandom;
  RegionId mRegion;
  SweeperSettings mSettings;
  WallClock mClock;
  FirstSeen mSeenClaims;
  FirstSeen mSeenChanges;
  FirstSeen mSeenJobs;
  Phase mPhase = Phase::Claims;
  JobListing mJobs;
  DeletionQueue mQueue;
  // Failed transactions in a row.
  int mFailures = 0;
  TimePoint mNextTransaction;
  bool mRunning = false;
  SweepReport mReport;
  std::optional<SweepReport> mLastReport;
  Timer mTimer;
  // Exists while the role is held.
  std::shared_ptr<int> mRole;
};

} // namespace lovagerock::retention
