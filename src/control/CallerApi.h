#pragma once

#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/LogRate.h"
#include "base/WallClock.h"
#include "control/Backlog.h"
#include "control/ControlSettings.h"
#include "control/Deployment.h"
#include "control/EarlyCancellations.h"
#include "control/Keys.h"
#include "control/Leader.h"
#include "control/RelayedWrite.h"
#include "http/HttpMessage.h"
#include "http/Responder.h"
#include "kv/KvError.h"
#include "kv/PrefixStore.h"
#include "scheduler/JobLimits.h"
#include "scheduler/JobRecord.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Decodes callers' requests and encodes the replies in the platform's format.
template<typename T>
concept CallerCodec = requires(const http::Request& aRequest, const std::string& aText)
{
  // Returns the caller's API key; empty if the request has none.
  {
    T::Key(aRequest)
    } -> std::convertible_to<std::string>;
  // Returns how long the caller waits for the reply.
  {
    T::Timeout(aRequest)
    } -> std::convertible_to<Duration>;
  // Reads a submission; nullopt if it is malformed. Its sizes are checked by FindExcess().
  {
    T::ReadJob(aText)
    } -> std::convertible_to<std::optional<scheduler::JobSpec>>;
  // Reads the path below the queue's prefix as a job id; nullopt if it isn't one.
  {
    T::ReadJobId(aText)
    } -> std::convertible_to<std::optional<JobId>>;
  {
    T::WriteState(scheduler::JobState::Queued)
    } -> std::convertible_to<std::string>;
  {
    T::WritePendingCount(1)
    } -> std::convertible_to<std::string>;
};

// Receives the leader's reply; nullopt if the leader couldn't be reached. The inner optional is
// empty if the leader doesn't know the job.
using StateCallback = std::function<void(std::optional<std::optional<JobStatus>>)>;
// Receives the leader's count; nullopt if the leader couldn't be reached, or if its count is
// outdated.
using PendingCountCallback = std::function<void(std::optional<int>)>;

// The functions that CallerApi needs from its node.
struct CallerHooks
{
  // Returns the current configuration; null until one has been read.
  std::function<const Deployment*()> mDeployment;
  // Whether the configuration was confirmed recently enough for its API keys to be accepted.
  std::function<bool()> mAreKeysCurrent;
  // Returns the time since the configuration was last confirmed, for the log.
  std::function<Duration()> mConfigurationAge;
  // Whether the store has answered recently.
  std::function<bool()> mIsStoreReachable;
  std::function<void(const JobId&, StateCallback)> mQueryState;
  std::function<void(const std::string& aQueue, PendingCountCallback)> mQueryPendingCount;
  // Makes a write through another node, see WriteRelay::Send().
  std::function<bool(const RequestWrite&, std::vector<SocketAddress>& aAsked, TimePoint aDeadline,
                     RelayCallback)>
    mRelayWrite;
  // Whether submissions of the group are to be refused; may be empty.
  std::function<bool(const scheduler::JobGroup&)> mIsClosed;
  // Whether one more early cancellation may be recorded now; may be empty.
  std::function<bool()> mMayRecordCancellation;
  // Receives the reason for which a submission was refused; may be empty.
  std::function<void(const char*)> mOnJobRefused;
};

// Serves the callers' HTTP API: accepts and cancels jobs, returns a job's state and the number of
// pending jobs in a queue. A job is accepted once it is stored.
template<kv::PrefixStore Store, CallerCodec Codec>
class CallerApi
{
public:
  CallerApi(EventLoop& aLoop, Store& aStore, CallerHooks aHooks,
            const scheduler::JobLimits& aLimits = {})
    : mLoop(aLoop)
    , mStore(aStore)
    , mHooks(std::move(aHooks))
    , mLimits(aLimits)
  {
  }

  void Handle(const http::Request& aRequest, const http::Responder& aResponder)
  {
    const auto* deployment = mHooks.mDeployment();
    if (!deployment) {
      RefuseUnchecked(aResponder, "no_configuration", aRequest.mPath);
      return;
    }
    const auto* queue = deployment->FindQueue(aRequest.mHeaders.Get("Host"), aRequest.mPath);
    if (!queue) {
      Deny(aResponder, 404, "no_queue", aRequest.mPath, *deployment);
      return;
    }
    AccountId account;
    if (!queue->mIsPublic) {
      if (!mHooks.mAreKeysCurrent()) {
        RefuseUnchecked(aResponder, "configuration_not_confirmed", aRequest.mPath);
        return;
      }
      const auto* found = deployment->FindAccount(Codec::Key(aRequest));
      if (!found) {
        Deny(aResponder, 401, "unknown_key", aRequest.mPath, *deployment);
        return;
      }
      account = *found;
    }
    Dispatch(aRequest, *queue, account, aResponder);
  }

private:
  // A store write that is retried until its outcome is known or its deadline is near.
  struct PendingWrite
  {
    RequestWrite mWrite;
    http::Responder mResponder;
    const char* mOperation = "";
    TimePoint mDeadline;
    // Whether the write may be sent to the store: a cancellation may once it is known whether the
    // account sees the job.
    bool mIsAllowed = false;
    // Whether it is the cancellation of a job that the account doesn't see; see EarlyCancellations.
    bool mIsEarly = false;
    // An earlier attempt may have been applied, or may still be.
    bool mIsOutcomeUnknown = false;
    int mRefusals = 0;
    // The nodes that were asked to make it, and whether one may still be asked.
    std::vector<SocketAddress> mAsked;
    bool mMayRelay = true;
    // Whether the store has refused an attempt because of its rate limit.
    bool mIsRateLimited = false;
    Timer mRetryTimer;
  };
  using PendingPtr = std::shared_ptr<PendingWrite>;

  // A request is refused once the store has refused its write this many times in a row.
  static constexpr int kMaxRefusals = 3;

  void Dispatch(const http::Request& aRequest, const Queue& aQueue, const AccountId& aAccount,
                const http::Responder& aResponder)
  {
    const auto rest = aRequest.mPath.substr(aQueue.mPathPrefix.size());
    if (rest.empty() && aRequest.mMethod == http::Method::Get) {
      SendPendingCount(aQueue.mName, aResponder);
      return;
    }
    const auto job = Codec::ReadJobId(rest);
    if (!job) {
      aResponder.Send({ 404, {}, "" });
      return;
    }
    switch (aRequest.mMethod) {
      case http::Method::Post:
        Submit(aRequest, aQueue, aAccount, *job, aResponder);
        break;
      case http::Method::Get:
        SendState(*job, aAccount, aResponder);
        break;
      case http::Method::Delete:
        Cancel(aRequest, *job, aAccount, aResponder);
        break;
      default:
        aResponder.Send({ 405, {}, "" });
        break;
    }
  }

  // Replies 503 with Retry-After; the request had no effect. aSubject is the request's path, job or
  // queue, for the log.
  void Refuse(const http::Responder& aResponder, const char* aReason, std::string_view aSubject)
  {
    LogEvent("request_refused")
      .With("subject", aSubject)
      .With("reason", aReason)
      .With("configuration_age_ms", mHooks.mConfigurationAge());
    SendRefusal(aResponder);
  }

  // The same for a caller whose key wasn't checked, so that it is logged only so often.
  void
  RefuseUnchecked(const http::Responder& aResponder, const char* aReason, std::string_view aSubject)
  {
    if (mDenialRate.Allows(std::chrono::steady_clock::now())) {
      Refuse(aResponder, aReason, aSubject);
    } else {
      SendRefusal(aResponder);
    }
  }

  static void SendRefusal(const http::Responder& aResponder)
  {
    aResponder.Send({ 503, { { "Retry-After", std::to_string(kRetryAfterSeconds) } }, "" });
  }

  // Replies that the current configuration doesn't allow the request.
  void Deny(const http::Responder& aResponder, int aStatus, const char* aReason,
            std::string_view aSubject, const Deployment& aDeployment)
  {
    // Callers without a key can trigger this as often as they like.
    if (mDenialRate.Allows(std::chrono::steady_clock::now())) {
      LogEvent("request_denied")
        .With("subject", aSubject)
        .With("reason", aReason)
        .With("version", aDeployment.mVersion)
        .With("omitted", mDenialRate.TakeOmitted());
    }
    aResponder.Send({ aStatus, {}, "" });
  }

  static TimePoint WriteDeadline(const http::Request& aRequest)
  {
    // Leaves time for the reply to reach the caller.
    constexpr Duration kMargin{ 150 };
    const auto timeout = std::min(Codec::Timeout(aRequest) - kMargin, kMaxWriteRetryTime);
    return std::chrono::steady_clock::now() + std::max(timeout, kMargin);
  }

  void Submit(const http::Request& aRequest, const Queue& aQueue, const AccountId& aAccount,
              const JobId& aJob, const http::Responder& aResponder)
  {
    auto spec = Codec::ReadJob(aRequest.mBody);
    const auto excess = spec ? scheduler::FindExcess(*spec, mLimits) : std::nullopt;
    if (!spec || excess) {
      const char* reason = excess ? scheduler::JobExcessName(*excess) : "malformed";
      ReportRefusedJob(aJob, aAccount, reason);
      aResponder.Send(http::JsonResponse(400, DumpJson({ { "error", reason } })));
      return;
    }
    const auto group = scheduler::JobGroup::Of(aAccount, aQueue.mName, aQueue.mPolicy);
    if (mHooks.mIsClosed && mHooks.mIsClosed(group)) {
      RefuseForBacklog(aJob, aAccount, aResponder);
      return;
    }
    const scheduler::AcceptedJob job{ aJob,          aQueue.mName,   aAccount,
                                      WallClockMs(), aQueue.mPolicy, std::move(*spec) };
    auto write = NewWrite(aRequest, aResponder,
                          { aJob, aAccount, scheduler::WriteAcceptedJob(job) }, "submit");
    write->mIsAllowed = true;
    Begin(write);
  }

  // Refuses a submission because of what its account or queue holds already, unless an earlier
  // attempt was stored: "never runs" must be true.
  void
  RefuseForBacklog(const JobId& aJob, const AccountId& aAccount, const http::Responder& aResponder)
  {
    if (!mRefusalChecks.Allows(std::chrono::steady_clock::now())) {
      SendUnchecked(aJob, aAccount, aResponder);
      return;
    }
    mStore.Get(KeyOf(kJobPrefix, aJob), mGuard.Wrap([this, aJob, aAccount, aResponder](
                                                      std::error_code aError,
                                                      const std::optional<kv::Item>& aItem) {
      if (aError) {
        SendUnchecked(aJob, aAccount, aResponder);
      } else if (aItem) {
        aResponder.Send(http::JsonResponse(200, "{}"));
      } else {
        ReportRefusedJob(aJob, aAccount, "backlog_full");
        auto refusal = http::JsonResponse(429, DumpJson({ { "error", "backlog_full" } }));
        refusal.mHeaders.Add("Retry-After", std::to_string(kBacklogRetryAfterSeconds));
        aResponder.Send(std::move(refusal));
      }
    }));
  }

  // Answers a submission that the backlog refuses without knowing whether an earlier attempt was
  // stored: 504 promises nothing of the job.
  void
  SendUnchecked(const JobId& aJob, const AccountId& aAccount, const http::Responder& aResponder)
  {
    ReportRefusedJob(aJob, aAccount, "backlog_full_unchecked");
    aResponder.Send({ 504, { { "Retry-After", std::to_string(kBacklogRetryAfterSeconds) } }, "" });
  }

  // Counts and logs a submission that is refused because of its content or of the backlog. Callers
  // can trigger this as often as they like.
  void ReportRefusedJob(const JobId& aJob, const AccountId& aAccount, const char* aReason)
  {
    if (mHooks.mOnJobRefused) {
      mHooks.mOnJobRefused(aReason);
    }
    if (mJobRefusalRate.Allows(std::chrono::steady_clock::now())) {
      LogEvent("job_refused")
        .With("job", aJob)
        .With("account", aAccount)
        .With("reason", aReason)
        .With("omitted", mJobRefusalRate.TakeOmitted());
    }
  }

  void Cancel(const http::Request& aRequest, const JobId& aJob, const AccountId& aAccount,
              const http::Responder& aResponder)
  {
    Begin(NewWrite(aRequest, aResponder, { aJob, aAccount, std::nullopt }, "cancel"));
  }

  PendingPtr NewWrite(const http::Request& aRequest, const http::Responder& aResponder,
                      RequestWrite aWrite, const char* aOperation)
  {
    return std::make_shared<PendingWrite>(PendingWrite{ std::move(aWrite),
                                                        aResponder,
                                                        aOperation,
                                                        WriteDeadline(aRequest),
                                                        false,
                                                        false,
                                                        false,
                                                        0,
                                                        {},
                                                        true,
                                                        false,
                                                        {} });
  }

  // Makes an attempt. While the store counts as unreachable, a request of which nothing may have
  // been written is not sent to it, so that it can still be refused.
  void Begin(const PendingPtr& aWrite)
  {
    if (!mHooks.mIsStoreReachable()) {
      if (Relay(aWrite)) {
        return;
      }
      if (!aWrite->mIsOutcomeUnknown) {
        Refuse(aWrite->mResponder, "store_unreachable", aWrite->mWrite.mJob.Value());
        return;
      }
    }
    if (aWrite->mIsAllowed) {
      SendWrite(aWrite);
    } else {
      CheckVisible(aWrite);
    }
  }

  void CheckVisible(const PendingPtr& aWrite)
  {
    mStore.Get(
      KeyOf(kJobPrefix, aWrite->mWrite.mJob),
      mGuard.Wrap([this, aWrite](std::error_code aError, const std::optional<kv::Item>& aItem) {
        if (aError) {
          OnReadFailed(aWrite, aError);
        } else if (IsVisible(aItem, aWrite->mWrite.mAccount)) {
          aWrite->mIsAllowed = true;
          SendWrite(aWrite);
        } else {
          RecordEarlyCancellation(aWrite);
        }
      }));
  }

  // Cancels a job that isn't stored, or that the account doesn't see. The answer doesn't tell which
  // of the two.
  void RecordEarlyCancellation(const PendingPtr& aWrite)
  {
    if (mHooks.mMayRecordCancellation && !mHooks.mMayRecordCancellation()) {
      RefuseUnchecked(aWrite->mResponder, "too_many_early_cancellations",
                      aWrite->mWrite.mJob.Value());
      return;
    }
    aWrite->mOperation = "early_cancel";
    aWrite->mIsEarly = true;
    aWrite->mIsAllowed = true;
    SendWrite(aWrite);
  }

  void OnReadFailed(const PendingPtr& aWrite, std::error_code aError)
  {
    if (RelayAfter(aWrite, aError)) {
      return;
    }
    if (aWrite->mIsOutcomeUnknown || aError == kv::KvError::RateLimited) {
      RetryLater(aWrite, aError.message());
    } else {
      Refuse(aWrite->mResponder, "store_unreachable", aWrite->mWrite.mJob.Value());
    }
  }

  void SendWrite(const PendingPtr& aWrite)
  {
    const auto& write = aWrite->mWrite;
    mStore.Write(aWrite->mIsEarly
                   ? EarlyCancellationWrites(write.mJob, write.mAccount, WallClockMs())
                   : StoreOperation(write),
                 mGuard.Wrap([this, aWrite](std::error_code aError, kv::WriteOutcome aOutcome) {
                   OnWritten(aWrite, aError, aOutcome);
                 }));
  }

  void OnWritten(const PendingPtr& aWrite, std::error_code aError, const kv::WriteOutcome& aOutcome)
  {
    if (!aError) {
      // A submission that isn't applied was stored before under the same job id, by an earlier
      // request or an earlier attempt of this one.
      OnStored(aWrite, !aOutcome.mApplied);
      return;
    }
    const bool isRefused = aError == kv::KvError::Unavailable || aError == kv::KvError::RateLimited;
    aWrite->mIsOutcomeUnknown = aWrite->mIsOutcomeUnknown || !isRefused;
    if (!RelayAfter(aWrite, aError)) {
      RetryLater(aWrite, aError.message());
    }
  }

  void OnStored(const PendingPtr& aWrite, bool aAgain)
  {
    LogEvent("request_stored")
      .With("request", aWrite->mOperation)
      .With("job", aWrite->mWrite.mJob)
      .With("again", aAgain);
    aWrite->mResponder.Send(aWrite->mIsEarly ? http::Response{ 410, {}, "" }
                                             : http::JsonResponse(200, "{}"));
  }

  // Goes on through another node after the store has failed an attempt. The first refusal because
  // of the rate limit is not passed on: the limit counts all nodes together, and a short excess is
  // over by the next attempt.
  bool RelayAfter(const PendingPtr& aWrite, std::error_code aError)
  {
    if (aError == kv::KvError::RateLimited && !std::exchange(aWrite->mIsRateLimited, true)) {
      return false;
    }
    return Relay(aWrite);
  }

  // Returns whether another node was asked to make the write.
  bool Relay(const PendingPtr& aWrite)
  {
    if (!aWrite->mMayRelay || !mHooks.mRelayWrite) {
      return false;
    }
    return mHooks.mRelayWrite(
      aWrite->mWrite, aWrite->mAsked, aWrite->mDeadline,
      mGuard.Wrap([this, aWrite](const RelayAnswer& aAnswer) { OnRelayed(aWrite, aAnswer); }));
  }

  void OnRelayed(const PendingPtr& aWrite, const RelayAnswer& aAnswer)
  {
    switch (aAnswer.mOutcome) {
      case RelayOutcome::Stored:
      case RelayOutcome::Present:
        aWrite->mIsEarly = false;
        OnStored(aWrite, aAnswer.mOutcome == RelayOutcome::Present);
        return;
      case RelayOutcome::Gone:
        aWrite->mResponder.Send({ 410, {}, "" });
        return;
      case RelayOutcome::Refused:
        if (aAnswer.mHasNoStore && !aWrite->mIsOutcomeUnknown && !mHooks.mIsStoreReachable()) {
          Refuse(aWrite->mResponder, "store_unreachable", aWrite->mWrite.mJob.Value());
          return;
        }
        break;
      case RelayOutcome::Unknown:
        aWrite->mIsOutcomeUnknown = true;
        break;
    }
    aWrite->mMayRelay = !aAnswer.mIsBusy;
    RetryLater(aWrite, aAnswer.mReason);
  }

  // Ends the request if it has been refused too often or its deadline is near; otherwise makes
  // another attempt later. aReason is that of the last failure.
  void RetryLater(const PendingPtr& aWrite, const std::string& aReason)
  {
    const bool isDeadlineNear =
      std::chrono::steady_clock::now() + kStoreRetryDelay > aWrite->mDeadline;
    if (!aWrite->mIsOutcomeUnknown && (++aWrite->mRefusals >= kMaxRefusals || isDeadlineNear)) {
      Refuse(aWrite->mResponder, "store_refused", aWrite->mWrite.mJob.Value());
      return;
    }
    if (isDeadlineNear) {
      LogEvent("request_uncertain", LogLevel::Warning)
        .With("request", aWrite->mOperation)
        .With("job", aWrite->mWrite.mJob)
        .With("reason", aReason);
      aWrite->mResponder.Send({ 504, {}, "" });
      return;
    }
    aWrite->mRetryTimer =
      mLoop.After(kStoreRetryDelay, [this, write = aWrite.get()] { RetryWrite(write); });
    mWritesToRetry.push_back(aWrite);
  }

  void RetryWrite(const PendingWrite* aWrite)
  {
    const auto it = std::find_if(mWritesToRetry.begin(), mWritesToRetry.end(),
                                 [aWrite](const auto& aIt) { return aIt.get() == aWrite; });
    if (it != mWritesToRetry.end()) {
      const auto write = *it;
      mWritesToRetry.erase(it);
      Begin(write);
    }
  }

  void SendState(const JobId& aJob, const AccountId& aAccount, const http::Responder& aResponder)
  {
    mHooks.mQueryState(aJob, [this, aJob, aAccount, aResponder](auto aAnswer) {
      if (!aAnswer || !*aAnswer) {
        // The leader can't be reached, or has not yet seen a job that was just accepted.
        ReadStoredState(aJob, aAccount, aResponder);
        return;
      }
      const JobStatus& known = **aAnswer;
      if (!aAccount.IsEmpty() && !known.mAccount.IsEmpty() && known.mAccount != aAccount) {
        aResponder.Send({ 410, {}, "" });
        return;
      }
      aResponder.Send(http::JsonResponse(200, Codec::WriteState(known.mState)));
    });
  }

  void
  ReadStoredState(const JobId& aJob, const AccountId& aAccount, const http::Responder& aResponder)
  {
    mStore.Get(KeyOf(kJobPrefix, aJob),
               mGuard.Wrap([this, aJob, aAccount, aResponder](std::error_code aError,
                                                              std::optional<kv::Item> aItem) {
                 if (aError) {
                   Refuse(aResponder, "store_unreachable", aJob.Value());
                 } else if (!IsVisible(aItem, aAccount)) {
                   aResponder.Send({ 410, {}, "" });
                 } else {
                   ReadStoredProgress(aJob, aResponder);
                 }
               }));
  }

  void ReadStoredProgress(const JobId& aJob, const http::Responder& aResponder)
  {
    mStore.Get(
      KeyOf(kProgressPrefix, aJob),
      mGuard.Wrap([this, aJob, aResponder](std::error_code aError, std::optional<kv::Item> aItem) {
        if (aError) {
          Refuse(aResponder, "store_unreachable", aJob.Value());
          return;
        }
        auto state = scheduler::JobState::Queued;
        if (aItem) {
          state = scheduler::ReadState(aItem->mValue).value_or(state);
        }
        aResponder.Send(http::JsonResponse(200, Codec::WriteState(state)));
      }));
  }

  void SendPendingCount(const std::string& aQueue, const http::Responder& aResponder)
  {
    mHooks.mQueryPendingCount(aQueue, [this, aQueue, aResponder](std::optional<int> aCount) {
      if (aCount) {
        aResponder.Send(http::JsonResponse(200, Codec::WritePendingCount(*aCount)));
      } else {
        Refuse(aResponder, "no_current_count", aQueue);
      }
    });
  }

  EventLoop& mLoop;
  Store& mStore;
  CallerHooks mHooks;
  // Writes that wait for their next attempt.
  std::vector<PendingPtr> mWritesToRetry;
  scheduler::JobLimits mLimits;
  LogRate mDenialRate;
  LogRate mJobRefusalRate;
  LogRate mRefusalChecks{ kMaxRefusalChecks };
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
