#pragma once

#include "routing/Claim.h"
#include "routing/ClaimBatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lovagerock::routing {

// The result of an attempt to claim a key.
struct ClaimResult
{
  enum class Kind
  {
    // This node holds the claim and may send the request.
    Held,
    // The key already has another claim, which mClaim holds.
    Exists,
    // It is unknown whether the key is claimed, because the key-value service failed. The request
    // must not be sent.
    Unavailable,
  };

  Kind mKind = Kind::Unavailable;
  Claim mClaim;
  kv::ModifyIndex mIndex = 0;
};

// Acquires and settles the claims of non-idempotent requests with an idempotency key. A claim is
// settled once its final state, Released or Done, is recorded. Not thread-safe: use it only on its
// event loop.
template<kv::KeyValueStore Store>
class ClaimStore
{
public:
  using AcquireCallback = std::function<void(ClaimResult)>;
  using ReadCallback = std::function<void(std::error_code, std::optional<Claim>, kv::ModifyIndex)>;

  ClaimStore(EventLoop& aLoop, Store& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
    , mBatcher(aLoop, aStore)
  {
  }

  // Claims a key whose current version is aExpected; 0 creates the key. If the result of the write
  // is lost, the key is read. If that fails too, the result is Unavailable, and the claim is
  // released later if it turns out to exist.
  void Acquire(const std::string& aKey, Claim aClaim, kv::ModifyIndex aExpected,
               AcquireCallback aCallback)
  {
    const auto call = std::make_shared<AcquireCall>();
    call->mKey = aKey;
    call->mClaim = std::move(aClaim);
    call->mExpected = aExpected;
    call->mCallback = std::move(aCallback);
    WriteAcquisition(call);
  }

  // Reads a key. Passes no claim if the key is absent or its value is not a claim.
  void Read(const std::string& aKey, ReadCallback aCallback)
  {
    mStore.Get(aKey, [callback = std::move(aCallback), alive = std::weak_ptr<int>(mAlive)](
                       std::error_code aError, const std::optional<kv::Entry>& aEntry) {
      if (!alive.expired()) {
        callback(aError, aEntry ? ReadClaim(aEntry->mValue) : std::nullopt,
                 aEntry ? aEntry->mModifyIndex : 0);
      }
    });
  }

  // Records that a claim which this node holds at version aExpected is released or done, and
  // retries until it is recorded. Calls aOnFirstWrite once, when the first write has succeeded or
  // failed.
  void Settle(const std::string& aKey, Claim aClaim, kv::ModifyIndex aExpected,
              std::function<void()> aOnFirstWrite = nullptr)
  {
    const auto token = aClaim.mToken;
    mUnsettled[token] = { aKey, std::move(aClaim), aExpected, 0, std::move(aOnFirstWrite) };
    WriteSettlement(token);
  }

  // Whether the final state of a claim of this node is still to be recorded.
  bool IsUnsettled(const std::string& aToken) const { return mUnsettled.contains(aToken); }
  std::size_t Unsettled() const { return mUnsettled.size(); }

private:
  struct AcquireCall
  {
    std::string mKey;
    Claim mClaim;
    kv::ModifyIndex mExpected = 0;
    AcquireCallback mCallback;
    int mTries = 0;
    // Whether a write whose result was lost may have taken effect or still take effect.
    bool mUncertain = false;
  };
  using AcquirePtr = std::shared_ptr<AcquireCall>;

  struct Settlement
  {
    std::string mKey;
    Claim mClaim;
    // 0 while it is unknown whether the claim exists and at which version.
    kv::ModifyIndex mExpected = 0;
    int mAbsentReads = 0;
    std::function<void()> mOnFirstWrite;
  };

  static constexpr int kMaxTries = 3;
  static constexpr Duration kSettleRetryInterval{ 1000 };
  // A write whose result was lost may take effect late. If this many reads, one per second, don't
  // find the claim, it is taken as never written.
  static constexpr int kMaxAbsentReads = 10;

  void WriteAcquisition(const AcquirePtr& aCall)
  {
    ++aCall->mTries;
    mBatcher.Write({ kv::Operation::Kind::CompareAndSet, aCall->mKey, WriteClaim(aCall->mClaim),
                     aCall->mExpected },
                   [this, aCall](WriteOutcome aOutcome, kv::ModifyIndex aIndex) {
                     OnClaimWritten(aCall, aOutcome, aIndex);
                   });
  }

  void OnClaimWritten(const AcquirePtr& aCall, WriteOutcome aOutcome, kv::ModifyIndex aIndex)
  {
    if (aOutcome == WriteOutcome::Applied) {
      aCall->mCallback({ ClaimResult::Kind::Held, aCall->mClaim, aIndex });
      return;
    }
    if (aOutcome == WriteOutcome::Unavailable) {
      FailAcquire(aCall);
      return;
    }
    aCall->mUncertain = aCall->mUncertain || aOutcome == WriteOutcome::Unknown;
    Read(aCall->mKey,
         [this, aCall](std::error_code aError, const std::optional<Claim>& aClaim,
                       kv::ModifyIndex aFound) { OnClaimRead(aCall, aError, aClaim, aFound); });
  }

  void OnClaimRead(const AcquirePtr& aCall, std::error_code aError,
                   const std::optional<Claim>& aClaim, kv::ModifyIndex aIndex)
  {
    if (aError) {
      FailAcquire(aCall);
      return;
    }
    if (aClaim && aClaim->mToken == aCall->mClaim.mToken) {
      aCall->mCallback({ ClaimResult::Kind::Held, *aClaim, aIndex });
      return;
    }
    if (aIndex == aCall->mExpected || aIndex == 0) {
      // The write didn't take effect, or the conflicting claim has been deleted since.
      aCall->mExpected = aIndex;
      if (aCall->mTries < kMaxTries) {
        WriteAcquisition(aCall);
      } else {
        FailAcquire(aCall);
      }
      return;
    }
    if (!aClaim) {
      FailAcquire(aCall);
      return;
    }
    aCall->mCallback({ ClaimResult::Kind::Exists, *aClaim, aIndex });
  }

  void FailAcquire(const AcquirePtr& aCall)
  {
    if (aCall->mUncertain) {
      auto released = aCall->mClaim;
      released.mState = ClaimState::Released;
      const auto token = released.mToken;
      mUnsettled[token] = { aCall->mKey, std::move(released), 0, 0, nullptr };
      ScheduleSettlements();
    }
    aCall->mCallback({});
  }

  void WriteSettlement(const std::string& aToken)
  {
    const auto it = mUnsettled.find(aToken);
    if (it == mUnsettled.end()) {
      return;
    }
    const auto& settlement = it->second;
    if (settlement.mExpected == 0) {
      LocateClaim(aToken);
      return;
    }
    mBatcher.Write({ kv::Operation::Kind::CompareAndSet, settlement.mKey,
                     WriteClaim(settlement.mClaim), settlement.mExpected },
                   [this, aToken](WriteOutcome aOutcome, kv::ModifyIndex) {
                     OnSettlementWritten(aToken, aOutcome);
                   });
  }

  void OnSettlementWritten(const std::string& aToken, WriteOutcome aOutcome)
  {
    const auto it = mUnsettled.find(aToken);
    if (it == mUnsettled.end()) {
      return;
    }
    const auto tried = std::exchange(it->second.mOnFirstWrite, nullptr);
    if (aOutcome == WriteOutcome::Applied) {
      mUnsettled.erase(it);
    } else {
      if (aOutcome != WriteOutcome::Unavailable) {
        it->second.mExpected = 0;
      }
      ScheduleSettlements();
    }
    if (tried) {
      tried();
    }
  }

  // Reads the key to find the claim's version, or to find that the claim is already settled.
  void LocateClaim(const std::string& aToken)
  {
    Read(mUnsettled[aToken].mKey, [this, aToken](std::error_code aError,
                                                 const std::optional<Claim>& aClaim,
                                                 kv::ModifyIndex aIndex) {
      const auto it = mUnsettled.find(aToken);
      if (it == mUnsettled.end()) {
        return;
      }
      auto& settlement = it->second;
      if (!aError && aClaim && aClaim->mToken == aToken && aClaim->mState == ClaimState::Claimed) {
        settlement.mExpected = aIndex;
        WriteSettlement(aToken);
        return;
      }
      const bool settled = !aError && aIndex != 0;
      const bool absent = !aError && aIndex == 0 && ++settlement.mAbsentReads >= kMaxAbsentReads;
      if (settled || absent) {
        mUnsettled.erase(it);
      } else {
        ScheduleSettlements();
      }
    });
  }

  void ScheduleSettlements()
  {
    if (mTimer.IsPending()) {
      return;
    }
    mTimer = mLoop.After(kSettleRetryInterval, [this] {
      std::vector<std::string> tokens;
      for (const auto& it : mUnsettled) {
        tokens.push_back(it.first);
      }
      for (const auto& it : tokens) {
        WriteSettlement(it);
      }
    });
  }

  EventLoop& mLoop;
  Store& mStore;
  ClaimBatcher<Store> mBatcher;
  std::map<std::string, Settlement> mUnsettled;
  Timer mTimer;
  std::shared_ptr<int> mAlive = std::make_shared<int>();
};

} // namespace lovagerock::routing
