#pragma once

// Claims of non-idempotent requests with an idempotency key in the Router.

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
      // The request ended while the claim was being acquired, so it was never sent.
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
      Refuse(aTask,
             { 503, "claims_unavailable",
               "the idempotency key can't be claimed because the key-value service is unavailable",
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
    Refuse(aTask, { 422, "key_reused", "the idempotency key was used for a different request",
                    Ran::No, false, Duration(0) });
  } else if (claim.mFinalResponse) {
    Finish(aTask, *claim.mFinalResponse);
  } else {
    QueryHolder(aTask);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::QueryHolder(RequestTask& aTask)
{
  const auto onStatus = Guarded(
    [this, number = aTask.mNumber](HolderStatus aHolderStatus, const FinalResponse& aFinal) {
      if (const auto task = Find(number)) {
        OnHolderStatus(*task, aHolderStatus, aFinal);
      }
    });
  const auto& claim = *aTask.mClaim;
  if (claim.mNode != mOptions.mNode) {
    mResolver.Query(aTask.mClaimKey, claim, onStatus);
  } else if (claim.mIncarnation == mOptions.mIncarnation) {
    AnswerClaimQuery(aTask.mClaimKey, claim.mToken, onStatus);
  } else {
    OnHolderStatus(aTask, HolderStatus::Unknown, {});
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnHolderStatus(RequestTask& aTask, HolderStatus aHolderStatus,
                                FinalResponse aFinal)
{
  LogEvent("claim_holder_asked")
    .With("request", aTask.mRequest.mId)
    .With("holder", aTask.mClaim->mNode)
    .With("holder_request", aTask.mClaim->mRequest)
    .With("answer", HolderStatusName(aHolderStatus));
  if (aHolderStatus == HolderStatus::Done) {
    Finish(aTask, std::move(aFinal));
  } else {
    RereadClaim(aTask, aHolderStatus);
  }
}

// Reads the claim again, because it may have been settled since it was last read, and continues
// with the request accordingly.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::RereadClaim(RequestTask& aTask, HolderStatus aHolderStatus)
{
  mClaims.Read(
    aTask.mClaimKey,
    Guarded([this, number = aTask.mNumber, aHolderStatus](
              std::error_code aError, const std::optional<Claim>& aClaim, kv::ModifyIndex aIndex) {
      const auto task = Find(number);
      if (!task) {
        return;
      }
      if (aError || aIndex == task->mClaimIndex || (aIndex != 0 && !aClaim)) {
        OnClaimUnchanged(*task, aHolderStatus);
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
Router<S, T, W>::OnClaimUnchanged(RequestTask& aTask, HolderStatus aHolderStatus)
{
  // Queries in a row without a reply after which the holder is considered gone.
  constexpr int kMaxUnreachable = 3;
  constexpr Duration kQueryInterval{ 200 };
  const bool isUnreachable = aHolderStatus == HolderStatus::Unreachable;
  aTask.mUnreachableQueries = isUnreachable ? aTask.mUnreachableQueries + 1 : 0;
  const bool gone = aTask.mUnreachableQueries >= kMaxUnreachable;
  if (aHolderStatus != HolderStatus::Unknown && !gone) {
    aTask.mRetryAt = Now() + kQueryInterval;
    Schedule(aTask, aTask.mRetryAt);
    return;
  }
  if (aTask.mClaim->mState == ClaimState::Done) {
    Refuse(aTask,
           { 409, "answer_not_kept", "the request was run, but its response is no longer stored",
             Ran::Unknown, false, Duration(0) });
    return;
  }
  Refuse(aTask, { 409, "outcome_unknown",
                  "the node that handled the request with this key is gone or was restarted",
                  Ran::Unknown, false, Duration(0) });
}

// Reports the status of a request whose claim this node holds. While the request is running here,
// replies when it ends or after kMaxReplyDelay; otherwise at once.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::AnswerClaimQuery(const std::string& aKey, const std::string& aToken,
                                  const typename ClaimResolver<T>::ReplyCallback& aReply)
{
  struct Waiter
  {
    typename ClaimResolver<T>::ReplyCallback mReply;
    Timer mTimeout;

    void Reply(HolderStatus aHolderStatus, const FinalResponse& aFinal)
    {
      if (const auto reply = std::exchange(mReply, nullptr)) {
        mTimeout.Cancel();
        reply(aHolderStatus, aFinal);
      }
    }
  };
  const auto it = mPrimaryByKey.find(aKey);
  const auto task = it == mPrimaryByKey.end() ? nullptr : Find(it->second);
  const auto* cached = mResponseCache.Find(aKey);
  if (task && task->mClaimHeld && task->mClaim->mToken == aToken) {
    const auto waiter = std::make_shared<Waiter>();
    waiter->mReply = aReply;
    waiter->mTimeout =
      mLoop.After(ClaimResolver<T>::kMaxReplyDelay, [weak = std::weak_ptr<Waiter>(waiter)] {
        if (const auto locked = weak.lock()) {
          locked->Reply(HolderStatus::InProgress, {});
        }
      });
    task->mJoiners.emplace_back([waiter](const FinalResponse& aFinal) {
      // InProgress for a request that was not run, because the release of its claim must be
      // recorded before another request with the key may run.
      waiter->Reply(aFinal.mNotRun ? HolderStatus::InProgress : HolderStatus::Done, aFinal);
    });
  } else if (cached && cached->mToken == aToken) {
    aReply(HolderStatus::Done, cached->mFinalResponse);
  } else if (mClaims.IsUnsettled(aToken)) {
    aReply(HolderStatus::InProgress, {});
  } else {
    aReply(HolderStatus::Unknown, {});
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::SettleClaim(const RequestTask& aTask, const FinalResponse& aFinal, bool aHasBody)
{
  if (!aTask.mClaimHeld) {
    return;
  }
  auto claim = *aTask.mClaim;
  const auto& body = aFinal.mResponse.mBody;
  claim.mState = ClaimState::Done;
  claim.mStatus = aFinal.mResponse.mStatus;
  if (aHasBody) {
    claim.mDigest = Sha256Hex(body);
    mResponseCache.Add(aTask.mClaimKey, { claim.mToken, claim.mFingerprint, aFinal });
  }
  if (aHasBody && body.size() <= kMaxRecordedBodyBytes) {
    claim.mFinalResponse = aFinal;
  }
  mClaims.Settle(aTask.mClaimKey, std::move(claim), aTask.mClaimIndex);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::SendAfterRelease(const TaskPtr& aTask, const FinalResponse& aFinal)
{
  // Limits how long an outage of the key-value service delays the refusal. Until the release is
  // recorded, this node reports InProgress to nodes that query the claim.
  constexpr Duration kReleaseWait{ 500 };
  struct PendingRefusal
  {
    TaskPtr mTask;
    FinalResponse mFinal;
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
  const auto pending = std::make_shared<PendingRefusal>();
  pending->mTask = aTask;
  pending->mFinal = aFinal;
  pending->mLimit = mLoop.After(kReleaseWait, [weak = std::weak_ptr<PendingRefusal>(pending)] {
    if (const auto locked = weak.lock()) {
      locked->Send();
    }
  });
  mClaims.Settle(aTask->mClaimKey, std::move(claim), aTask->mClaimIndex,
                 [pending] { pending->Send(); });
}

} // namespace lovagerock::routing
