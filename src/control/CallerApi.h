#pragma once

#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/WallClock.h"
#include "control/ControlSettings.h"
#include "control/Deployment.h"
#include "control/Keys.h"
#include "control/Leader.h"
#include "http/HttpMessage.h"
#include "http/Responder.h"
#include "kv/KvError.h"
#include "kv/PrefixStore.h"
#include "scheduler/JobRecord.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lovagerock::control {

// How a platform's callers write requests and read answers.
template<typename T>
concept CallerCodec = requires(const http::Request& aRequest, const std::string& aText)
{
  // The caller's key; empty without one.
  {
    T::Key(aRequest)
    } -> std::convertible_to<std::string>;
  // How long the caller waits.
  {
    T::Patience(aRequest)
    } -> std::convertible_to<Duration>;
  {
    T::ReadJob(aText)
    } -> std::convertible_to<std::optional<scheduler::JobSpec>>;
  // The id in the rest of a path; nothing if it isn't one.
  {
    T::ReadJobId(aText)
    } -> std::convertible_to<std::optional<JobId>>;
  {
    T::WriteState(scheduler::JobState::Queued)
    } -> std::convertible_to<std::string>;
  {
    T::WritePending(1)
    } -> std::convertible_to<std::string>;
};

// An answer of the leader; empty if it couldn't be asked.
using StateAnswer = std::function<void(std::optional<std::optional<KnownState>>)>;
using PendingAnswer = std::function<void(std::optional<int>)>;

// What the callers' interface needs of its node.
struct CallerHooks
{
  // The configuration in force; null before the first one.
  std::function<const Deployment*()> mDeployment;
  // Whether a key that the configuration holds may still be accepted.
  std::function<bool()> mAreKeysCurrent;
  // How old the configuration may be, for the log.
  std::function<Duration()> mConfigurationAge;
  // Whether the store has answered lately.
  std::function<bool()> mIsStoreReachable;
  std::function<void(const JobId&, StateAnswer)> mAskState;
  std::function<void(const std::string& aQueue, PendingAnswer)> mAskPending;
};

// Serves callers: accepts jobs, tells their state, cancels them and counts what waits. A job is
// accepted once it is stored.
template<kv::PrefixStore Store, CallerCodec Codec>
class CallerApi
{
public:
  CallerApi(EventLoop& aLoop, Store& aStore, CallerHooks aHooks)
    : mLoop(aLoop)
    , mStore(aStore)
    , mHooks(std::move(aHooks))
  {
  }

  void Handle(const http::Request& aRequest, const http::Responder& aResponder)
  {
    const auto* deployment = mHooks.mDeployment();
    if (!deployment) {
      Refuse(aResponder, "no_configuration", aRequest.mPath);
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
        Refuse(aResponder, "configuration_not_confirmed", aRequest.mPath);
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
  // A write that is repeated until its outcome is known.
  struct PendingWrite
  {
    kv::ConditionalWrites mWrites;
    http::Responder mResponder;
    JobId mJob;
    const char* mWhat = "";
    TimePoint mGiveUp;
    // An attempt may have been carried out, or may yet be.
    bool mIsUncertain = false;
    int mRefusals = 0;
    Timer mRetry;
  };
  using PendingPtr = std::shared_ptr<PendingWrite>;

  // Refusals of the store in a row after which a request is refused.
  static constexpr int kMaxRefusals = 3;

  void Dispatch(const http::Request& aRequest, const Queue& aQueue, const AccountId& aAccount,
                const http::Responder& aResponder)
  {
    const auto rest = aRequest.mPath.substr(aQueue.mPathPrefix.size());
    if (rest.empty() && aRequest.mMethod == http::Method::Get) {
      AnswerPending(aQueue.mName, aResponder);
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
        AnswerState(*job, aAccount, aResponder);
        break;
      case http::Method::Delete:
        Cancel(aRequest, *job, aAccount, aResponder);
        break;
      default:
        aResponder.Send({ 405, {}, "" });
        break;
    }
  }

  // Answers that the request has not run and when to come back. The subject is the request's path
  // or job.
  void Refuse(const http::Responder& aResponder, const char* aReason, std::string_view aSubject)
  {
    LogEvent("request_refused")
      .With("subject", aSubject)
      .With("reason", aReason)
      .With("configuration_age_ms", mHooks.mConfigurationAge());
    aResponder.Send({ 503, { { "Retry-After", std::to_string(kRetryAfterSeconds) } }, "" });
  }

  // Answers that the configuration in force doesn't allow the request.
  static void Deny(const http::Responder& aResponder, int aStatus, const char* aReason,
                   std::string_view aSubject, const Deployment& aDeployment)
  {
    LogEvent("request_denied")
      .With("subject", aSubject)
      .With("reason", aReason)
      .With("version", aDeployment.mVersion);
    aResponder.Send({ aStatus, {}, "" });
  }

  static TimePoint GiveUpTime(const http::Request& aRequest)
  {
    // Leaves the answer time to reach the caller.
    constexpr Duration kMargin{ 150 };
    const auto patience = std::min(Codec::Patience(aRequest) - kMargin, kSubmitLimit);
    return std::chrono::steady_clock::now() + std::max(patience, kMargin);
  }

  void Submit(const http::Request& aRequest, const Queue& aQueue, const AccountId& aAccount,
              const JobId& aJob, const http::Responder& aResponder)
  {
    auto spec = Codec::ReadJob(aRequest.mBody);
    if (!spec) {
      LogEvent("job_malformed").With("job", aJob);
      aResponder.Send({ 400, {}, "" });
      return;
    }
    if (!mHooks.mIsStoreReachable()) {
      Refuse(aResponder, "store_unreachable", aJob.Value());
      return;
    }
    const scheduler::AcceptedJob job{ aJob,          aQueue.mName,   aAccount,
                                      WallClockMs(), aQueue.mPolicy, std::move(*spec) };
    auto write = NewWrite(aRequest, aResponder, aJob, "submit");
    const auto key = KeyOf(kJobPrefix, aJob);
    write->mWrites.mConditions.push_back({ key, kv::Revision() });
    write->mWrites.mWrites.push_back({ key, scheduler::WriteAcceptedJob(job), {} });
    SendWrite(write);
  }

  void Cancel(const http::Request& aRequest, const JobId& aJob, const AccountId& aAccount,
              const http::Responder& aResponder)
  {
    if (!mHooks.mIsStoreReachable()) {
      Refuse(aResponder, "store_unreachable", aJob.Value());
      return;
    }
    auto write = NewWrite(aRequest, aResponder, aJob, "cancel");
    write->mWrites.mWrites.push_back({ KeyOf(kCancelPrefix, aJob), "{}", {} });
    mStore.Get(
      KeyOf(kJobPrefix, aJob),
      mGuard.Wrap([this, write, aAccount](std::error_code aError, std::optional<kv::Item> aItem) {
        if (aError) {
          Refuse(write->mResponder, "store_unreachable", write->mJob.Value());
        } else if (!IsVisible(aItem, aAccount)) {
          write->mResponder.Send({ 410, {}, "" });
        } else {
          SendWrite(write);
        }
      }));
  }

  PendingPtr NewWrite(const http::Request& aRequest, const http::Responder& aResponder,
                      const JobId& aJob, const char* aWhat)
  {
    return std::make_shared<PendingWrite>(
      PendingWrite{ {}, aResponder, aJob, aWhat, GiveUpTime(aRequest), false, 0, {} });
  }

  void SendWrite(const PendingPtr& aWrite)
  {
    mStore.Write(aWrite->mWrites,
                 mGuard.Wrap([this, aWrite](std::error_code aError, kv::WriteOutcome aOutcome) {
                   OnWritten(aWrite, aError, aOutcome);
                 }));
  }

  void OnWritten(const PendingPtr& aWrite, std::error_code aError, const kv::WriteOutcome& aOutcome)
  {
    if (!aError) {
      // A job that is stored already was submitted before with the same id.
      LogEvent("request_stored")
        .With("request", aWrite->mWhat)
        .With("job", aWrite->mJob)
        .With("again", !aOutcome.mApplied);
      aWrite->mResponder.Send(http::JsonResponse(200, "{}"));
      return;
    }
    const bool isRefused = aError == kv::KvError::Unavailable || aError == kv::KvError::RateLimited;
    aWrite->mIsUncertain = aWrite->mIsUncertain || !isRefused;
    const bool isOver = std::chrono::steady_clock::now() + kStoreRetry > aWrite->mGiveUp;
    if (!aWrite->mIsUncertain && (++aWrite->mRefusals >= kMaxRefusals || isOver)) {
      Refuse(aWrite->mResponder, "store_refused", aWrite->mJob.Value());
      return;
    }
    if (isOver) {
      LogEvent("request_uncertain", LogLevel::Warning)
        .With("request", aWrite->mWhat)
        .With("job", aWrite->mJob)
        .With("reason", aError.message());
      aWrite->mResponder.Send({ 504, {}, "" });
      return;
    }
    aWrite->mRetry = mLoop.After(kStoreRetry, [this, write = aWrite.get()] { SendAgain(write); });
    mWaiting.push_back(aWrite);
  }

  void SendAgain(const PendingWrite* aWrite)
  {
    const auto it = std::find_if(mWaiting.begin(), mWaiting.end(),
                                 [aWrite](const auto& aIt) { return aIt.get() == aWrite; });
    if (it != mWaiting.end()) {
      const auto write = *it;
      mWaiting.erase(it);
      SendWrite(write);
    }
  }

  // Whether the item is a job that the account may see.
  static bool IsVisible(const std::optional<kv::Item>& aItem, const AccountId& aAccount)
  {
    const auto job = aItem ? scheduler::ReadAcceptedJob(aItem->mValue) : std::nullopt;
    return job && (aAccount.IsEmpty() || job->mAccount.IsEmpty() || job->mAccount == aAccount);
  }

  void AnswerState(const JobId& aJob, const AccountId& aAccount, const http::Responder& aResponder)
  {
    mHooks.mAskState(aJob, [this, aJob, aAccount, aResponder](auto aAnswer) {
      if (!aAnswer || !*aAnswer) {
        // A job that was just accepted may not have reached the leader.
        ReadStoredState(aJob, aAccount, aResponder);
        return;
      }
      const KnownState& known = **aAnswer;
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

  void AnswerPending(const std::string& aQueue, const http::Responder& aResponder)
  {
    mHooks.mAskPending(aQueue, [this, aQueue, aResponder](std::optional<int> aCount) {
      if (aCount) {
        aResponder.Send(http::JsonResponse(200, Codec::WritePending(*aCount)));
      } else {
        Refuse(aResponder, "no_leader", aQueue);
      }
    });
  }

  EventLoop& mLoop;
  Store& mStore;
  CallerHooks mHooks;
  // Writes that wait for their next attempt.
  std::vector<PendingPtr> mWaiting;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
