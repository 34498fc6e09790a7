#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/Json.h"
#include "base/LogEvent.h"
#include "base/WallClock.h"
#include "control/EarlyCancellations.h"
#include "control/Keys.h"
#include "control/RelayedWrite.h"
#include "kv/KvError.h"
#include "kv/PrefixStore.h"
#include "peer/PeerError.h"
#include "peer/PeerTransport.h"
#include "scheduler/JobRecord.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::control {

// The functions that WriteRelay needs from its node.
struct RelayHooks
{
  // Returns the peer address of the leader by this node's view, which may be its own; unset if it
  // knows of none.
  std::function<std::optional<SocketAddress>()> mLeader;
  // Whether the store has answered this node recently.
  std::function<bool()> mIsStoreReachable;
  // Whether one more early cancellation may be recorded now; may be empty.
  std::function<bool()> mMayRecordCancellation;
  // Receives the outcome of each write that this node has relayed.
  std::function<void(RelayOutcome)> mOnOutcome;
};

// Writes submissions and cancellations through another node while the store rejects this one, and
// makes such writes for other nodes. The asked node makes one attempt; the asking one decides
// whether to go on.
template<kv::PrefixStore Store, peer::PeerTransport Peers>
class WriteRelay
{
public:
  // Relayed writes of this node in progress, at most.
  static constexpr int kMaxRelayed = 32;
  // Writes in progress for other nodes, at most. The store's answer takes some milliseconds, so
  // more than this only add up while the store doesn't answer.
  static constexpr int kMaxServed = 64;
  // Relayed writes are refused for this time after the store has refused one because of its rate
  // limit, so that nodes that get the same refusal don't add to the load.
  static constexpr Duration kRateLimitPause{ 1000 };
  // No other node is asked for this time after two in a row have answered that the store rejects
  // them too. In an outage of the whole store, requests are refused at once then.
  static constexpr Duration kNoStorePause{ 300 };

  // aOwn is the peer address of this node.
  WriteRelay(Store& aStore, Peers& aPeers, const SocketAddress& aOwn, RelayHooks aHooks)
    : mStore(aStore)
    , mPeers(aPeers)
    , mHooks(std::move(aHooks))
    , mNodes(aOwn)
  {
    mPeers.Handle(kMethod, mGuard.Wrap([this](const Json& aBody, const peer::ReplyFunction& aTo) {
      Serve(aBody, aTo);
    }));
  }

  // Records the leader by this node's view.
  void NoteLeader() { mNodes.OnView(mHooks.mLeader()); }
  KnownNodes& Nodes() { return mNodes; }
  // Returns the leader to name to other nodes; unset if none is known. A former leader that the
  // store rejects knows its successor from the hand-over.
  std::optional<SocketAddress> NamedLeader() const
  {
    return mHooks.mIsStoreReachable() ? mHooks.mLeader() : mNodes.Choose();
  }
  // When the store last acknowledged a write that this node has relayed, as BootTime().
  Duration StoredAt() const { return mStoredAt; }

  // Asks another node to make the write, if possible one that hasn't been asked, and adds it to
  // aAsked. Returns false without calling back if there is none to ask, if too little time is left
  // until the deadline or if too many relayed writes are in progress.
  bool Send(const RequestWrite& aWrite, std::vector<SocketAddress>& aAsked, TimePoint aDeadline,
            RelayCallback aCallback)
  {
    NoteLeader();
    const auto node = mNodes.Choose(aAsked);
    const auto left =
      std::chrono::duration_cast<Duration>(aDeadline - std::chrono::steady_clock::now());
    if (!node || left < kMinTimeout || BootTime() < mNoStoreUntil) {
      return false;
    }
    if (mRelayed >= kMaxRelayed) {
      LogRefused(aWrite.mJob, "too_many_relayed");
      return false;
    }
    ++mRelayed;
    aAsked.push_back(*node);
    Json body{ { "job", aWrite.mJob.Value() }, { "account", aWrite.mAccount.Value() } };
    if (aWrite.mRecord) {
      body["record"] = *aWrite.mRecord;
    }
    mPeers.Call(
      *node, kMethod, body, std::min(left, kMaxTimeout),
      mGuard.Wrap([this, node = *node, job = aWrite.mJob,
                   callback = std::move(aCallback)](std::error_code aError, const Json& aReply) {
        --mRelayed;
        const auto answer = OnReply(node, aError, aReply);
        LogEvent("write_relayed")
          .With("job", job)
          .With("node", node.ToString())
          .With("outcome", RelayOutcomeName(answer.mOutcome))
          .With("reason", answer.mReason);
        mHooks.mOnOutcome(answer.mOutcome);
        callback(answer);
      }));
    return true;
  }

private:
  using Finish = std::function<void(RelayAnswer)>;

  // Two answers that the store rejects the answering node count as in a row within this time.
  static constexpr Duration kNoStoreMemory{ 1000 };
  static constexpr const char* kMethod = "store_write";
  // Longer than the store client's timeouts of one call, so that the asked node's answer arrives if
  // the store doesn't answer it either.
  static constexpr Duration kMaxTimeout{ 1200 };
  // A call with less time than this would leave most outcomes unknown.
  static constexpr Duration kMinTimeout{ 100 };

  static void LogRefused(const JobId& aJob, const char* aReason)
  {
    LogEvent("relay_refused").With("job", aJob).With("reason", aReason);
  }

  RelayAnswer OnReply(const SocketAddress& aNode, std::error_code aError, const Json& aReply)
  {
    if (aError) {
      mNodes.OnSilent(aNode);
      return { OutcomeOf(aError), aError.message(), aError == peer::PeerError::Overloaded };
    }
    if (const auto leader = SocketAddress::Parse(JsonValue(aReply, "leader", std::string()))) {
      mNodes.OnNamed(*leader);
    }
    const auto outcome = ParseRelayOutcome(JsonValue(aReply, "outcome", std::string()));
    if (outcome == RelayOutcome::Gone && !JsonValue(aReply, "recorded", false)) {
      // A node of an earlier version has left no trace of the cancellation.
      return { RelayOutcome::Refused, "not_recorded" };
    }
    if (outcome == RelayOutcome::Stored || outcome == RelayOutcome::Present) {
      mStoredAt = BootTime();
      mLastRejectedNode.reset();
    }
    const bool hasNoStore = JsonValue(aReply, "no_store", false) && OnStoreRejectsNode(aNode);
    return { outcome, JsonValue(aReply, "reason", std::string()), JsonValue(aReply, "busy", false),
             hasNoStore };
  }

  // The store rejects the asked node. Returns whether that holds for all that could be asked.
  bool OnStoreRejectsNode(const SocketAddress& aNode)
  {
    const bool isRecent = BootTime() - mLastRejectedAt < kNoStoreMemory;
    const bool isSecond = isRecent && mLastRejectedNode && *mLastRejectedNode != aNode;
    const bool isOnly = mNodes.Choose({ aNode }) == aNode;
    mLastRejectedNode = aNode;
    mLastRejectedAt = BootTime();
    mNodes.OnSilent(aNode);
    if (isSecond || isOnly) {
      mNoStoreUntil = BootTime() + kNoStorePause;
    }
    return isSecond || isOnly;
  }

  // Returns the outcome of a call that ended without an answer.
  static RelayOutcome OutcomeOf(std::error_code aError)
  {
    const bool hasNotRun =
      aError == peer::PeerError::NotSent || aError == peer::PeerError::Overloaded ||
      aError == peer::PeerError::TooLarge || aError == peer::PeerError::UnknownMethod;
    return hasNotRun ? RelayOutcome::Refused : RelayOutcome::Unknown;
  }

  void Serve(const Json& aBody, const peer::ReplyFunction& aReply)
  {
    RequestWrite write;
    write.mJob = JobId(JsonValue(aBody, "job", std::string()));
    write.mAccount = AccountId(JsonValue(aBody, "account", std::string()));
    if (aBody.contains("record")) {
      write.mRecord = JsonValue(aBody, "record", std::string());
    }
    const Finish reply = [this, aReply](const RelayAnswer& aAnswer) { Reply(aReply, aAnswer); };
    if (!IsWellFormed(write)) {
      reply({ RelayOutcome::Refused, "malformed", false });
    } else if (!mHooks.mIsStoreReachable()) {
      reply({ RelayOutcome::Refused, "store_unreachable", false, true });
    } else if (const auto* reason = BusyReason()) {
      LogRefused(write.mJob, reason);
      reply({ RelayOutcome::Refused, reason, true });
    } else {
      ++mServed;
      const Finish finish = [this, reply](RelayAnswer aAnswer) {
        --mServed;
        reply(std::move(aAnswer));
      };
      Make(write, finish);
    }
  }

  static bool IsWellFormed(const RequestWrite& aWrite)
  {
    if (!aWrite.mRecord) {
      return !aWrite.mJob.IsEmpty();
    }
    const auto job = scheduler::ReadAcceptedJob(*aWrite.mRecord);
    return job && job->mId == aWrite.mJob;
  }

  // Returns why no write can be made for another node at present; null if one can.
  const char* BusyReason() const
  {
    if (mServed >= kMaxServed) {
      return "too_many_served";
    }
    return BootTime() < mPausedUntil ? "store_rate_limited" : nullptr;
  }

  void Reply(const peer::ReplyFunction& aReply, const RelayAnswer& aAnswer)
  {
    Json reply{ { "outcome", RelayOutcomeName(aAnswer.mOutcome) },
                { "reason", aAnswer.mReason },
                { "busy", aAnswer.mIsBusy },
                { "no_store", aAnswer.mHasNoStore },
                { "recorded", aAnswer.mOutcome == RelayOutcome::Gone } };
    if (const auto leader = NamedLeader()) {
      reply["leader"] = leader->ToString();
    }
    aReply(std::move(reply));
  }

  void Make(const RequestWrite& aWrite, const Finish& aFinish)
  {
    if (aWrite.mRecord) {
      Write(aWrite, aFinish);
      return;
    }
    mStore.Get(KeyOf(kJobPrefix, aWrite.mJob),
               mGuard.Wrap([this, aWrite, aFinish](std::error_code aError,
                                                   const std::optional<kv::Item>& aItem) {
                 if (aError) {
                   // Nothing is written before the job was read.
                   aFinish(Failed(RelayOutcome::Refused, aError));
                 } else if (IsVisible(aItem, aWrite.mAccount)) {
                   Write(aWrite, aFinish);
                 } else {
                   RecordEarlyCancellation(aWrite, aFinish);
                 }
               }));
  }

  // See CallerApi::RecordEarlyCancellation().
  void RecordEarlyCancellation(const RequestWrite& aWrite, const Finish& aFinish)
  {
    if (mHooks.mMayRecordCancellation && !mHooks.mMayRecordCancellation()) {
      aFinish({ RelayOutcome::Refused, "too_many_early_cancellations", true });
      return;
    }
    Write(EarlyCancellationWrites(aWrite.mJob, aWrite.mAccount, WallClockMs()), RelayOutcome::Gone,
          aFinish);
  }

  void Write(const RequestWrite& aWrite, const Finish& aFinish)
  {
    Write(StoreOperation(aWrite), RelayOutcome::Stored, aFinish);
  }

  // aOutcome is what to answer once the store has applied the writes.
  void Write(const kv::ConditionalWrites& aWrites, RelayOutcome aOutcome, const Finish& aFinish)
  {
    mStore.Write(aWrites, mGuard.Wrap([this, aOutcome, aFinish](std::error_code aError,
                                                                const kv::WriteOutcome& aWritten) {
      if (!aError) {
        aFinish({ aWritten.mApplied ? aOutcome : RelayOutcome::Present, "", false });
        return;
      }
      const bool isRefused =
        aError == kv::KvError::Unavailable || aError == kv::KvError::RateLimited;
      aFinish(Failed(isRefused ? RelayOutcome::Refused : RelayOutcome::Unknown, aError));
    }));
  }

  RelayAnswer Failed(RelayOutcome aOutcome, std::error_code aError)
  {
    const bool isRateLimited = aError == kv::KvError::RateLimited;
    if (isRateLimited) {
      mPausedUntil = BootTime() + kRateLimitPause;
    }
    return { aOutcome, aError.message(), isRateLimited, aError == kv::KvError::Unavailable };
  }

  Store& mStore;
  Peers& mPeers;
  RelayHooks mHooks;
  KnownNodes mNodes;
  // Writes that other nodes make for this one, and this one for others.
  int mRelayed = 0;
  int mServed = 0;
  // No write is made for another node before this BootTime().
  Duration mPausedUntil{ 0 };
  // The last node that the store rejects, when it said so, and until when no other one is asked, as
  // BootTime().
  std::optional<SocketAddress> mLastRejectedNode;
  Duration mLastRejectedAt{ 0 };
  Duration mNoStoreUntil{ 0 };
  Duration mStoredAt = Duration::min() / 2;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
