#pragma once

#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/WallClock.h"
#include "control/ControlSettings.h"
#include "control/WorkerCalls.h"
#include "scheduler/Scheduler.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace lovagerock::control {

// What the renewals need of the leader.
struct WorkerLeaseHooks
{
  // Whether leases may still be renewed.
  std::function<bool()> mIsLeading;
  // The scheduler has heard something that may call for a plan.
  std::function<void()> mOnNews;
  // The worker obeys another leader.
  std::function<void(const WorkerId&)> mOnFenced;
};

// Keeps the leases of the workers: renews each one's with a call that waits for an end, and tells
// the scheduler what the worker lists.
template<WorkerCalls Calls>
class WorkerLeases
{
public:
  WorkerLeases(EventLoop& aLoop, Calls& aCalls, scheduler::Scheduler& aScheduler,
               FencingToken aToken, Duration aHold, WorkerLeaseHooks aHooks)
    : mLoop(aLoop)
    , mCalls(aCalls)
    , mScheduler(aScheduler)
    , mToken(aToken)
    , mHold(aHold)
    , mHooks(std::move(aHooks))
  {
  }

  WorkerTarget Target(const scheduler::Worker& aWorker) const
  {
    return { aWorker.mEntry.mId, aWorker.mEntry.mAddress, mToken };
  }

  // The deadline of a renewal that is sent now, on the worker's clock; unset until that is known.
  std::optional<scheduler::WorkerClock> Deadline(const WorkerId& aWorker) const
  {
    const auto it = mRenewals.find(aWorker);
    if (it == mRenewals.end() || !it->second.mClock) {
      return std::nullopt;
    }
    const auto since =
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - it->second.mClockAt);
    return *it->second.mClock + scheduler::WorkerClock((since + mHold).count());
  }

  // Renews the worker's lease now and from then on, unless a call is on its way already.
  void Renew(const WorkerId& aWorker)
  {
    const auto it = mScheduler.Workers().find(aWorker);
    if (it == mScheduler.Workers().end()) {
      mRenewals.erase(aWorker);
      return;
    }
    auto& renewal = mRenewals[aWorker];
    if (renewal.mInFlight || !mHooks.mIsLeading()) {
      return;
    }
    const auto& worker = it->second;
    HoldCall call;
    call.mUntil = renewal.mIsSilent ? std::nullopt : Deadline(aWorker);
    call.mStored = worker.mStored;
    call.mWait = call.mUntil && worker.mConfirmed ? kHoldWait : Duration(0);
    renewal.mInFlight = true;
    renewal.mRetry.Cancel();
    if (call.mUntil) {
      mScheduler.OnLeaseSent(aWorker, Now());
    }
    mCalls.Hold(Target(worker), call,
                mGuard.Wrap([this, aWorker](const HoldReply& aReply) { OnHeld(aWorker, aReply); }));
  }

private:
  struct Renewal
  {
    bool mInFlight = false;
    // The last call had no answer. Until the next one has, nothing is renewed, so that the lease of
    // a worker that has gone ends.
    bool mIsSilent = false;
    // The worker's clock at a time of ours.
    std::optional<scheduler::WorkerClock> mClock;
    TimePoint mClockAt;
    Timer mRetry;
  };

  static scheduler::Now Now() { return { std::chrono::steady_clock::now(), WallClockMs() }; }

  void OnHeld(const WorkerId& aWorker, const HoldReply& aReply)
  {
    const bool isDone = aReply.mOutcome == scheduler::OrderOutcome::Done;
    auto& renewal = mRenewals[aWorker];
    renewal.mInFlight = false;
    renewal.mIsSilent = !isDone;
    mHooks.mOnNews();
    switch (aReply.mOutcome) {
      case scheduler::OrderOutcome::Done:
        renewal.mClock = aReply.mReport.mClock;
        renewal.mClockAt = std::chrono::steady_clock::now();
        mScheduler.OnHoldReport(aWorker, aReply.mReport, Now());
        break;
      case scheduler::OrderOutcome::Fenced:
        mHooks.mOnFenced(aWorker);
        return;
      case scheduler::OrderOutcome::WrongWorker:
        mScheduler.OnWorkerReplaced(aWorker, Now());
        renewal.mClock.reset();
        break;
      default:
        if (aReply.mIsRefused) {
          mScheduler.OnWorkerRefused(aWorker, Now());
        }
        break;
    }
    if (isDone && !HasUnstoredEnds(aWorker)) {
      Renew(aWorker);
    } else {
      renewal.mRetry = mLoop.After(kHoldRetry, [this, aWorker] { Renew(aWorker); });
    }
  }

  // Ends that aren't stored would be listed again at once.
  bool HasUnstoredEnds(const WorkerId& aWorker) const
  {
    const auto it = mScheduler.Workers().find(aWorker);
    return it != mScheduler.Workers().end() && it->second.mSeen > it->second.mStored;
  }

  EventLoop& mLoop;
  Calls& mCalls;
  scheduler::Scheduler& mScheduler;
  FencingToken mToken;
  Duration mHold;
  WorkerLeaseHooks mHooks;
  std::map<WorkerId, Renewal> mRenewals;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
