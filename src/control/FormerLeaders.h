#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "control/Election.h"
#include "control/HandOver.h"
#include "control/LeaderHistory.h"
#include "control/Witnesses.h"
#include "control/WorkerCalls.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Functions of the leader that FormerLeaders calls.
struct FormerLeaderHooks
{
  // The last former leader has replied to the first question for its hand-over, or it hasn't in
  // time.
  std::function<void(HandOver)> mOnHandOver;
  // The leases that former leaders have renewed end sooner than was known.
  std::function<void()> mOnUpdate;
  // A former leader names workers that have restarted.
  std::function<void(const std::vector<WorkerId>&)> mOnRestarted;
  // A worker has seen a higher fencing token, so there is a newer leader.
  std::function<void(const WorkerId&)> mOnFenced;
};

// Finds out for a new leader how long workers' leases may last that former leaders have renewed:
// calls the witnesses, so that they refuse those leaders, and asks the leaders themselves.
template<WorkerCalls Calls>
class FormerLeaders
{
public:
  // aLeaders and aWitnesses are those of the election.
  FormerLeaders(EventLoop& aLoop, Calls& aCalls, const HandOverSource& aSource,
                std::vector<FormerLeader> aLeaders, WitnessRecord aWitnesses,
                const NewLeadership& aPresent, const LeaseBounds& aBounds, FormerLeaderHooks aHooks)
    : mLoop(aLoop)
    , mCalls(aCalls)
    , mSource(aSource)
    , mToken(aPresent.mToken)
    , mWitnesses(std::move(aWitnesses))
    , mLeases(aLeaders, aPresent, aBounds)
    , mHooks(std::move(aHooks))
  {
    if (!aLeaders.empty()) {
      mLast = std::move(aLeaders.back());
    }
  }

  // Calls the witnesses, and requests the hand-over.
  void Start()
  {
    CallWitnesses();
    if (!mLast) {
      mHooks.mOnHandOver(HandOver());
      return;
    }
    mSource(*mLast, kHandOverTimeout, mGuard.Wrap([this](HandOver aHandOver) {
      OnReply(aHandOver);
      mHooks.mOnHandOver(std::move(aHandOver));
    }));
  }

  // Asks the former leaders that may still act whether they have ended, time and again while
  // aIsAwaited. What they haven't stored comes too late.
  void KeepAsking(std::function<bool()> aIsAwaited)
  {
    mTimer = mLoop.Every(kFormerLeadersPeriod, [this, aIsAwaited] {
      if (aIsAwaited()) {
        AskAll();
      }
    });
  }

  // A worker has answered this leader, and so refuses the calls of former ones.
  void OnAnswer(const WorkerId& aWorker, scheduler::WorkerIncarnation aIncarnation)
  {
    if (!mHaveWitnessesAnswered) {
      mAnswers.OnAnswer(aWorker, aIncarnation, BootTime());
      CheckWitnesses();
    }
  }

  // See EarlierLeases::OnSettled().
  void OnSettled(FencingToken aToken) { mLeases.OnSettled(aToken); }

  // Returns how long leases may last that former leaders have renewed, or may still renew.
  Duration EarlierLeasesLast() const { return mLeases.Remaining(BootTime()); }

private:
  void CallWitnesses()
  {
    for (const auto& it : mWitnesses.mWitnesses) {
      const WorkerTarget target{ it.mWorker, it.mAddress, mToken };
      mCalls.RenewLease(target, RenewalCall{}, mGuard.Wrap([this, it](const auto& aReply) {
        if (aReply.mOutcome == scheduler::OrderOutcome::Done) {
          OnAnswer(it.mWorker, aReply.mReport.mIncarnation);
        } else if (aReply.mOutcome == scheduler::OrderOutcome::Fenced) {
          mHooks.mOnFenced(it.mWorker);
        }
      }));
    }
    CheckWitnesses();
  }

  void CheckWitnesses()
  {
    const auto& witnesses = mWitnesses.mWitnesses;
    // Without a record, no former leader could renew leases on the answers of witnesses.
    const bool isAwaited = !witnesses.empty() && !mAnswers.AnsweredSince(witnesses);
    if (mWitnesses.mIsMalformed || isAwaited) {
      return;
    }
    mHaveWitnessesAnswered = true;
    mLeases.OnWitnessesAnswered(mWitnesses.mRevision, BootTime());
    LogEvent("witnesses_answered")
      .With("token", mToken)
      .With("witnesses", witnesses.size())
      .With("earlier_leases_ms", EarlierLeasesLast());
    mHooks.mOnUpdate();
  }

  void AskAll()
  {
    for (const auto& it : mLeases.Active(BootTime())) {
      mSource(it, kLeaderCallTimeout,
              mGuard.Wrap([this](const HandOver& aHandOver) { OnReply(aHandOver); }));
    }
  }

  void OnReply(const HandOver& aReply)
  {
    if (aReply.mToken.Value() == 0) {
      return;
    }
    const auto now = BootTime();
    mLeases.OnEnded(aReply.mToken, now - aReply.mEndedAgo, now + aReply.mEarlierLeases);
    mHooks.mOnRestarted(aReply.mRestarted);
    LogEvent("former_leader_ended")
      .With("token", aReply.mToken)
      .With("ended_ms_ago", aReply.mEndedAgo)
      .With("earlier_leases_ms", EarlierLeasesLast());
    mHooks.mOnUpdate();
  }

  EventLoop& mLoop;
  Calls& mCalls;
  HandOverSource mSource;
  FencingToken mToken;
  // The leadership before this one, if it is known.
  std::optional<FormerLeader> mLast;
  // The record when the leadership began, the answers since then, and whether more than half of the
  // witnesses have answered.
  WitnessRecord mWitnesses;
  WitnessAnswers mAnswers;
  bool mHaveWitnessesAnswered = false;
  EarlierLeases mLeases;
  FormerLeaderHooks mHooks;
  Timer mTimer;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
