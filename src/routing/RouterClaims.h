#pragma once

// Claims of keyed non-idempotent requests in the Router.

#include "routing/Router.h"

#include <cassert>

namespace lovagerock::routing {

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
Claim
Router<S, T, W>::NewClaim(const RequestTask& aTask)
{
  Claim claim;
  claim.mToken = mOptions.mNode.Value() + "/" + mOptions.mIncarnation + "/" +
                 aTask.mRequest.mId.Value() + "/" + mRandom.Token();
  claim.mNode = mOptions.mNode;
  claim.mIncarnation = mOptions.mIncarnation;
  claim.mPeer = mOptions.mPeer;
  claim.mRequest = aTask.mRequest.mId;
  claim.mFingerprint = aTask.mFingerprint;
  claim.mCreatedMs =
    std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count();
  return claim;
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::StartClaim(RequestTask& aTask)
{
  aTask.SetState(RequestState::Claiming);
  const auto onResult = [this, number = aTask.mNumber,
                         key = aTask.mClaimKey](const ClaimResult& aResult) {
    if (const auto task = Find(number)) {
      OnClaim(*task, aResult);
    } else if (aResult.mKind == ClaimResult::Kind::Held) {
      // The request ended while it waited for the claim, so it was never sent.
      auto claim = aResult.mClaim;
      claim.mState = ClaimState::Released;
      mClaims.Settle(key, std::move(claim), aResult.mIndex);
    }
  };
  mClaims.Acquire(aTask.mClaimKey, NewClaim(aTask), aTask.mClaimIndex, Guarded(onResult));
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnClaim(RequestTask& aTask, const ClaimResult& aResult)
{
  switch (aResult.mKind) {
    case ClaimResult::Kind::Held:
      mMetrics.AddClaim("held");
      aTask.mClaim = aResult.mClaim;
      aTask.mClaimIndex = aResult.mIndex;
      aTask.mClaimHeld = true;
      if (aTask.mReplica->mLive && mMaySend()) {
        StartAttempt(aTask);
      } else {
        ReleaseReplica(aTask);
        Enqueue(aTask, false);
      }
      return;
    case ClaimResult::Kind::Exists:
      mMetrics.AddClaim("exists");
      ReleaseReplica(aTask);
      aTask.mClaim = aResult.mClaim;
      aTask.mClaimIndex = aResult.mIndex;
      OnClaimExists(aTask);
      DispatchAll();
      return;
    case ClaimResult::Kind::Unavailable:
      mMetrics.AddClaim("unavailable");
      Refuse(aTask, { 503, "claims_unavailable",
                      "the key-value service is needed for this request and gives no answer",
                      Ran::No, true, Duration(2000) });
      return;
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnClaimExists(RequestTask& aTask)
{
  const auto& claim = *aTask.mClaim;
  aTask.mMayHaveRun = claim.mState != ClaimState::Released;
  if (claim.mState == ClaimState::Released) {
    Enqueue(aTask, false);
  } else if (claim.mFingerprint != aTask.mFingerprint) {
    Refuse(aTask, { 422, "key_reused", "the idempotency key belongs to a different request",
                    Ran::No, false, Duration(0) });
  } else if (claim.mAnswer) {
    Finish(aTask, *claim.mAnswer);
  } else {
    AskHolder(aTask);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::AskHolder(RequestTask& aTask)
{
  const auto onAnswer =
    Guarded([this, number = aTask.mNumber](HolderAnswer aAnswer, const FinalAnswer& aFinal) {
      if (const auto task = Find(number)) {
        OnHolderAnswer(*task, aAnswer, aFinal);
      }
    });
  const auto& claim = *aTask.mClaim;
  if (claim.mNode != mOptions.mNode) {
    mResolver.Ask(aTask.mClaimKey, claim, onAnswer);
  } else if (claim.mIncarnation == mOptions.mIncarnation) {
    LookUp(aTask.mClaimKey, claim.mToken, onAnswer);
  } else {
    OnHolderAnswer(aTask, HolderAnswer::Unknown, {});
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnHolderAnswer(RequestTask& aTask, HolderAnswer aAnswer, FinalAnswer aFinal)
{
  LogEvent("claim_holder_asked")
    .With("request", aTask.mRequest.mId)
    .With("holder", aTask.mClaim->mNode)
    .With("holder_request", aTask.mClaim->mRequest)
    .With("answer", HolderAnswerName(aAnswer));
  if (aAnswer == HolderAnswer::Done) {
    Finish(aTask, std::move(aFinal));
  } else {
    ReadAgain(aTask, aAnswer);
  }
}

// The claim may have been settled since it was read.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::ReadAgain(RequestTask& aTask, HolderAnswer aAnswer)
{
  mClaims.Read(aTask.mClaimKey,
               Guarded([this, number = aTask.mNumber, aAnswer](std::error_code aError,
                                                               const std::optional<Claim>& aClaim,
                                                               kv::ModifyIndex aIndex) {
                 const auto task = Find(number);
                 if (!task) {
                   return;
                 }
                 if (aError || aIndex == task->mClaimIndex || (aIndex != 0 && !aClaim)) {
                   OnUnchanged(*task, aAnswer);
                 } else if (aIndex == 0) {
                   task->mClaimIndex = 0;
                   task->mMayHaveRun = false;
                   Enqueue(*task, false);
                 } else {
                   task->mClaim = aClaim;
                   task->mClaimIndex = aIndex;
                   OnClaimExists(*task);
                 }
               }));
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnUnchanged(RequestTask& aTask, HolderAnswer aAnswer)
{
  // Questions without an answer before the holder is taken to be gone.
  constexpr int kMaxUnreachable = 3;
  constexpr Duration kAskInterval{ 200 };
  const bool gone = aAnswer == HolderAnswer::Unreachable && ++aTask.mUnreachable >= kMaxUnreachable;
  if (aAnswer != HolderAnswer::Unknown && !gone) {
    aTask.mRetryAt = Now() + kAskInterval;
    Schedule(aTask, aTask.mRetryAt);
    return;
  }
  if (aTask.mClaim->mState == ClaimState::Done) {
    Refuse(aTask, { 409, "answer_not_kept", "the request was run and its answer is no longer held",
                    Ran::Unknown, false, Duration(0) });
    return;
  }
  Refuse(aTask, { 409, "outcome_unknown", "the node that ran the request with this key is gone",
                  Ran::Unknown, false, Duration(0) });
}

// Answers for a claim of this node, at once or after kHoldTime at the latest.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::LookUp(const std::string& aKey, const std::string& aToken,
                        const typename ClaimResolver<T>::ReplyCallback& aReply)
{
  struct Waiter
  {
    typename ClaimResolver<T>::ReplyCallback mReply;
    Timer mTimeout;

    void Reply(HolderAnswer aAnswer, const FinalAnswer& aFinal)
    {
      if (const auto reply = std::exchange(mReply, nullptr)) {
        mTimeout.Cancel();
        reply(aAnswer, aFinal);
      }
    }
  };
  const auto it = mByKey.find(aKey);
  const auto task = it == mByKey.end() ? nullptr : Find(it->second);
  const auto* kept = mKept.Find(aKey);
  if (task && task->mClaimHeld && task->mClaim->mToken == aToken) {
    const auto waiter = std::make_shared<Waiter>();
    waiter->mReply = aReply;
    waiter->mTimeout =
      mLoop.After(ClaimResolver<T>::kHoldTime, [weak = std::weak_ptr<Waiter>(waiter)] {
        if (const auto locked = weak.lock()) {
          locked->Reply(HolderAnswer::InProgress, {});
        }
      });
    task->mJoiners.emplace_back([waiter](const FinalAnswer& aFinal) {
      // The release of a request that was not run must be recorded before the key runs again.
      waiter->Reply(aFinal.mNotRun ? HolderAnswer::InProgress : HolderAnswer::Done, aFinal);
    });
  } else if (kept && kept->mToken == aToken) {
    aReply(HolderAnswer::Done, kept->mAnswer);
  } else if (mClaims.IsUnsettled(aToken)) {
    aReply(HolderAnswer::InProgress, {});
  } else {
    aReply(HolderAnswer::Unknown, {});
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::SettleClaim(const RequestTask& aTask, const FinalAnswer& aFinal, bool aWhole)
{
  if (!aTask.mClaimHeld) {
    return;
  }
  auto claim = *aTask.mClaim;
  const auto& body = aFinal.mResponse.mBody;
  claim.mState = ClaimState::Done;
  claim.mStatus = aFinal.mResponse.mStatus;
  if (aWhole) {
    claim.mDigest = Sha256Hex(body);
    mKept.Add(aTask.mClaimKey, { claim.mToken, claim.mFingerprint, aFinal });
  }
  if (aWhole && body.size() <= kMaxRecordedAnswer) {
    claim.mAnswer = aFinal;
  }
  mClaims.Settle(aTask.mClaimKey, std::move(claim), aTask.mClaimIndex);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::SendAfterRelease(const TaskPtr& aTask, const FinalAnswer& aFinal)
{
  // An outage of the key-value service delays the refusal by this much only. While this node lives,
  // it tells other nodes that the release is on its way.
  constexpr Duration kReleaseWait{ 500 };
  struct Refused
  {
    TaskPtr mTask;
    FinalAnswer mFinal;
    Timer mLimit;

    void Send()
    {
      if (const auto task = std::exchange(mTask, nullptr)) {
        mLimit.Cancel();
        task->SendFinal(mFinal);
      }
    }
  };
  auto claim = *aTask->mClaim;
  claim.mState = ClaimState::Released;
  const auto refused = std::make_shared<Refused>();
  refused->mTask = aTask;
  refused->mFinal = aFinal;
  refused->mLimit = mLoop.After(kReleaseWait, [weak = std::weak_ptr<Refused>(refused)] {
    if (const auto locked = weak.lock()) {
      locked->Send();
    }
  });
  mClaims.Settle(aTask->mClaimKey, std::move(claim), aTask->mClaimIndex,
                 [refused] { refused->Send(); });
}

} // namespace lovagerock::routing
