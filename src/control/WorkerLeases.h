#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/WallClock.h"
#include "control/ControlSettings.h"
#include "control/WorkerCalls.h"
#include "control/WorkerTokens.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace lovagerock::control {

// Functions of the leader that WorkerLeases calls.
struct WorkerLeaseHooks
{
  // Whether workers may be called now.
  std::function<bool()> mMayRenew;
  // For how long leases may be renewed now; at most 0 if they may not be.
  std::function<Duration()> mLeaseDuration;
  // For how long the worker may hold back its reply to a renewal.
  std::function<Duration(const WorkerId&)> mRenewalWait;
  // The worker has answered a call that was sent at that BootTime(), and accepted its token.
  std::function<void(const WorkerId&, scheduler::WorkerIncarnation, Duration aSent)> mOnAnswer;
  // A worker's reply, or the lack of one, may require a new plan.
  std::function<void()> mOnUpdate;
  // The worker has seen a higher fencing token, so there is a newer leader.
  std::function<void(const WorkerId&)> mOnFenced;
};

// Renews the workers' leases: keeps one call to each worker open, which is answered when a run ends
// or its wait is over, and passes the reports to the scheduler.
template<WorkerCalls Calls>
class WorkerLeases
{
public:
  WorkerLeases(EventLoop& aLoop, Calls& aCalls, scheduler::Scheduler& aScheduler,
               FencingToken aToken, const scheduler::SchedulerSettings& aSettings,
               WorkerLeaseHooks aHooks)
    : mLoop(aLoop)
    , mCalls(aCalls)
    , mScheduler(aScheduler)
    , mTokens(aToken)
    , mSettings(aSettings)
    , mHooks(std::move(aHooks))
  {
  }

  WorkerTarget Target(const scheduler::Worker& aWorker) const
  {
    return { aWorker.mEntry.mId, aWorker.mEntry.mAddress, mTokens.OrderToken(aWorker.mEntry.mId) };
  }

  // Calls the worker with the token from now on, if it is still of that incarnation. The token must
  // have been obtained while the leadership held, so that those of later leaders are higher.
  void RaiseToken(const scheduler::RestartedWorker& aWorker, FencingToken aToken)
  {
    if (mTokens.IsRaisedFor(aWorker.mWorker, aWorker.mIncarnation) ||
        Incarnation(aWorker.mWorker) != aWorker.mIncarnation) {
      return;
    }
    mTokens.RaiseFor(aWorker.mWorker, aWorker.mIncarnation, aToken);
    Renew(aWorker.mWorker);
  }

  // A token that was obtained while the leadership held. From now on, the first call that reaches a
  // worker after a restart carries it, unless calls to the worker have carried it before.
  void OnTokenObtained(FencingToken aToken) { mObtainedToken = std::max(mObtainedToken, aToken); }

  // See WorkerTokens::Highest().
  FencingToken HighestToken(const WorkerId& aWorker) const { return mTokens.Highest(aWorker); }

  // Returns the end of a lease that is renewed now, at most aMost from now, on the worker's clock;
  // nullopt until that clock is known, and while leases may not be renewed.
  std::optional<scheduler::WorkerClock>
  Deadline(const WorkerId& aWorker, Duration aMost = Duration::max()) const
  {
    const auto clock = Clock(aWorker);
    // Taken after the clock, so that a pause of this process between the two makes the lease
    // shorter.
    const auto duration = std::min(mHooks.mLeaseDuration(), aMost);
    if (!clock || duration <= Duration(0)) {
      return std::nullopt;
    }
    return *clock + scheduler::WorkerClock(duration.count());
  }

  // Renews the worker's lease now and repeatedly from then on, unless a call is already in flight.
  void Renew(const WorkerId& aWorker)
  {
    const auto it = mScheduler.Workers().find(aWorker);
    if (it == mScheduler.Workers().end()) {
      mRenewals.erase(aWorker);
      mTokens.Prune(mScheduler.Workers(), mSettings.mMaxFormerWorkers);
      return;
    }
    auto& renewal = mRenewals[aWorker];
    if (renewal.mInFlight) {
      return;
    }
    if (!mHooks.mMayRenew()) {
      renewal.mRetryTimer = mLoop.After(kRenewalRetryDelay, [this, aWorker] { Renew(aWorker); });
      return;
    }
    const auto& worker = it->second;
    if (worker.mNeedsHigherToken && mObtainedToken > HighestToken(aWorker)) {
      mTokens.Raise(aWorker, mObtainedToken);
    }
    RenewalCall call;
    call.mLeaseDeadline = renewal.mLastCallFailed ? std::nullopt : Deadline(aWorker);
    // Named only if the worker has ends to drop: a call that is carried out late, after the worker
    // has restarted, would make it drop ends of its new incarnation. After a failed call, the next
    // one may be the first that the new incarnation gets.
    const bool mayDropEnds = worker.mListsEnds && !renewal.mLastCallFailed;
    call.mLastStoredEnd = mayDropEnds ? worker.mLastStoredEnd : 0;
    call.mDropsOnAnyConnection = renewal.mUndroppedReports >= kMaxUndroppedReports;
    const bool mayWait = Clock(aWorker) && !renewal.mLastCallFailed && worker.mHasAnswered &&
                         !worker.mNeedsHigherToken;
    call.mWait = mayWait ? mHooks.mRenewalWait(aWorker) : Duration(0);
    renewal.mInFlight = true;
    renewal.mRetryTimer.Cancel();
    if (call.mLeaseDeadline) {
      mScheduler.OnLeaseSent(aWorker, Now());
    }
    auto target = Target(worker);
    if (renewal.mLastCallFailed) {
      // The worker may have restarted, and then obeys outdated orders until it has seen a higher
      // token. Orders don't carry this one before the worker has answered, nor does this call renew
      // the lease or name ends, so nothing that is carried out late does harm with it.
      target.mToken = std::max(HighestToken(aWorker), mObtainedToken);
      mTokens.OnCall(aWorker, target.mToken);
    }
    const SentRenewal sent{ worker.mEntry.mIncarnation, target.mToken, call.mLastStoredEnd,
                            BootTime() };
    mCalls.RenewLease(target, call, mGuard.Wrap([this, aWorker, sent](const auto& aReply) {
      OnRenewalReply(aWorker, sent, aReply);
    }));
  }

private:
  // A worker counts as silent, for the log, after this many failed calls in a row.
  static constexpr int kSilentFailures = 2;
  // After this many reports in a row that still list the ends named, these are named over any
  // connection. A worker that closes its connections would otherwise keep them for ever.
  static constexpr int kMaxUndroppedReports = 3;
  // The number of failed calls in a row that are repeated soon, and the delay after the first one.
  static constexpr int kSoonRetries = 4;
  static constexpr Duration kSoonRetryDelay{ 20 };

  struct Renewal
  {
    bool mInFlight = false;
    // The last call failed, or its report can't be read in part. Until one succeeds, calls don't
    // renew the lease, so that the lease of a lost worker ends.
    bool mLastCallFailed = false;
    int mFailures = 0;
    // Reports in a row that list an end although the call allowed the worker to drop it.
    int mUndroppedReports = 0;
    // The worker's clock in its last report, the incarnation that it belongs to, and the local time
    // when the report arrived.
    std::optional<scheduler::WorkerClock> mClock;
    scheduler::WorkerIncarnation mIncarnation;
    TimePoint mClockReadAt;
    Timer mRetryTimer;
  };

  // What a call was sent with.
  struct SentRenewal
  {
    // The worker's incarnation, as far as it was known.
    scheduler::WorkerIncarnation mIncarnation;
    FencingToken mToken;
    // See RenewalCall::mLastStoredEnd.
    std::int64_t mNamedEnd = 0;
    // BootTime() then.
    Duration mSentAt{ 0 };
  };

  static scheduler::CurrentTime Now()
  {
    return { std::chrono::steady_clock::now(), WallClockMs() };
  }

  void OnRenewalReply(const WorkerId& aWorker, const SentRenewal& aSent, const RenewalReply& aReply)
  {
    const bool isDone = aReply.mOutcome == scheduler::OrderOutcome::Done;
    auto& renewal = mRenewals[aWorker];
    renewal.mInFlight = false;
    renewal.mLastCallFailed = !isDone || aReply.mReport.mHasUnreadableRows;
    CountFailures(aWorker, renewal, aReply.mOutcome);
    CountUndroppedReports(renewal, aSent.mNamedEnd, aReply);
    mHooks.mOnUpdate();
    if (isDone) {
      mHooks.mOnAnswer(aWorker, aReply.mReport.mIncarnation, aSent.mSentAt);
    }
    switch (aReply.mOutcome) {
      case scheduler::OrderOutcome::Done:
        if (aReply.mReport.mIncarnation == aSent.mIncarnation &&
            aSent.mIncarnation != Incarnation(aWorker)) {
          // The worker has restarted since it sent this report.
          break;
        }
        renewal.mClock = aReply.mReport.mClock;
        renewal.mClockReadAt = std::chrono::steady_clock::now();
        mScheduler.OnLeaseReport(aWorker, aReply.mReport, Now());
        renewal.mIncarnation = Incarnation(aWorker);
        if (aSent.mToken > mTokens.OrderToken(aWorker)) {
          mTokens.Raise(aWorker, aSent.mToken);
        }
        if (HasRaisedToken(aWorker, aSent)) {
          mScheduler.OnTokenRaised(aWorker);
        }
        break;
      case scheduler::OrderOutcome::Fenced:
        if (aSent.mToken < HighestToken(aWorker)) {
          // An order with the raised token was faster than this call.
          break;
        }
        mHooks.mOnFenced(aWorker);
        return;
      case scheduler::OrderOutcome::WrongWorker:
        if (aSent.mIncarnation == Incarnation(aWorker)) {
          mScheduler.OnWorkerReplaced(aWorker, Now());
          renewal.mClock.reset();
        }
        break;
      default:
        // Even a refused connection doesn't show that the worker's runs have ended: the network
        // between may refuse it.
        break;
    }
    // A worker whose report was partial would reply with the same one at once.
    if (isDone && !IsStoreAwaited(aWorker) && !aReply.mReport.mIsPartial) {
      Renew(aWorker);
    } else {
      renewal.mRetryTimer =
        mLoop.After(RetryDelay(renewal.mFailures), [this, aWorker] { Renew(aWorker); });
    }
  }

  // Returns the time on the worker's clock, or an earlier one; nullopt until it is known.
  std::optional<scheduler::WorkerClock> Clock(const WorkerId& aWorker) const
  {
    const auto it = mRenewals.find(aWorker);
    if (it == mRenewals.end() || !it->second.mClock ||
        it->second.mIncarnation != Incarnation(aWorker)) {
      return std::nullopt;
    }
    const auto elapsed = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                                              it->second.mClockReadAt);
    // The worker's clock may have advanced less, and must not get a longer lease by that.
    const auto advanced = elapsed * (100 - mSettings.mClockDriftPercent) / 100;
    return *it->second.mClock + scheduler::WorkerClock(advanced.count());
  }

  // Whether the call had the token that was obtained for the worker's present incarnation. Work
  // waits for that one, so that the next leader learns of the restart.
  bool HasRaisedToken(const WorkerId& aWorker, const SentRenewal& aSent) const
  {
    return aSent.mToken == mTokens.OrderToken(aWorker) &&
           mTokens.IsRaisedFor(aWorker, Incarnation(aWorker));
  }

  // Returns the delay before the next call after as many failed calls in a row. The first ones come
  // soon: if the worker has restarted, it carries out outdated orders until it is called.
  static Duration RetryDelay(int aFailures)
  {
    const bool isSoon = aFailures > 0 && aFailures <= kSoonRetries;
    return isSoon ? kSoonRetryDelay * aFailures : kRenewalRetryDelay;
  }

  // aNamed is the RenewalCall::mLastStoredEnd of the call.
  static void
  CountUndroppedReports(Renewal& aRenewal, std::int64_t aNamed, const RenewalReply& aReply)
  {
    const auto& ends = aReply.mReport.mFinished;
    const bool isDropped = ends.empty() || ends.front().mNumber > aNamed;
    aRenewal.mUndroppedReports = isDropped ? 0 : aRenewal.mUndroppedReports + 1;
  }

  // Counts failed calls in a row, and logs when a worker falls silent and when it answers again.
  static void
  CountFailures(const WorkerId& aWorker, Renewal& aRenewal, scheduler::OrderOutcome aOutcome)
  {
    if (aOutcome != scheduler::OrderOutcome::Done) {
      if (++aRenewal.mFailures == kSilentFailures) {
        LogEvent("worker_silent", LogLevel::Warning)
          .With("worker", aWorker)
          .With("outcome", scheduler::OrderOutcomeName(aOutcome));
      }
      return;
    }
    if (aRenewal.mFailures >= kSilentFailures) {
      LogEvent("worker_answers").With("worker", aWorker).With("failures", aRenewal.mFailures);
    }
    aRenewal.mFailures = 0;
  }

  // Returns the worker's incarnation as far as the scheduler knows it.
  scheduler::WorkerIncarnation Incarnation(const WorkerId& aWorker) const
  {
    const auto it = mScheduler.Workers().find(aWorker);
    return it == mScheduler.Workers().end() ? scheduler::WorkerIncarnation()
                                            : it->second.mEntry.mIncarnation;
  }

  // Whether a renewal would be answered at once, until the next batch is stored: the worker
  // reported ended runs that aren't stored yet, or needs a higher token.
  bool IsStoreAwaited(const WorkerId& aWorker) const
  {
    const auto it = mScheduler.Workers().find(aWorker);
    return it != mScheduler.Workers().end() &&
           (it->second.mNeedsHigherToken ||
            it->second.mLastProcessedEnd > it->second.mLastStoredEnd);
  }

  EventLoop& mLoop;
  Calls& mCalls;
  scheduler::Scheduler& mScheduler;
  WorkerTokens mTokens;
  scheduler::SchedulerSettings mSettings;
  WorkerLeaseHooks mHooks;
  std::map<WorkerId, Renewal> mRenewals;
  // The last token that was obtained while the leadership held.
  FencingToken mObtainedToken;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
