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

// The answer to an attempt to claim a key.
struct ClaimResult
{
  enum class Kind
  {
    // This node holds the claim and may send the request.
    Held,
    // Another claim has the key; mClaim is that claim.
    Exists,
    // The key-value service can't tell; the request must not be sent.
    Unavailable,
  };

  Kind mKind = Kind::Unavailable;
  Claim mClaim;
  kv::ModifyIndex mIndex = 0;
};

// The claims of keyed non-idempotent requests. Belongs to its loop.
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

  // Claims a key whose present version is aExpected; 0 creates the key. If the answer of the write
  // is lost, the key is read. If that fails too, the result is Unavailable and the claim, should it
  // exist, is released later.
  void Acquire(const std::string& aKey, Claim aClaim, kv::ModifyIndex aExpected,
               AcquireCallback aCallback)
  {
    const auto call = std::make_shared<AcquireCall>();
    call->mKey = aKey;
    call->mClaim = std::move(aClaim);
    call->mExpected = aExpected;
    call->mCallback = std::move(aCallback);
    WriteClaimOf(call);
  }

  // Reads a key; no claim if it is absent or not a claim.
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

  // Records a claim that this node holds at version aExpected as released or done, and repeats it
  // until it is recorded. aTried is called once, when the first write has ended in any way.
  void Settle(const std::string& aKey, Claim aClaim, kv::ModifyIndex aExpected,
              std::function<void()> aTried = nullptr)
  {
    const auto token = aClaim.mToken;
    mUnsettled[token] = { aKey, std::move(aClaim), aExpected, 0, std::move(aTried) };
    WriteSettlement(token);
  }

  // Whether a claim of this node has an outcome that is not recorded yet.
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
    // Whether a write whose answer was lost may still take effect.
    bool mUncertain = false;
  };
  using AcquirePtr = std::shared_ptr<AcquireCall>;

  struct Settlement
  {
    std::string mKey;
    Claim mClaim;
    // 0 if the claim's version is unknown, and whether it exists.
    kv::ModifyIndex mExpected = 0;
    int mAbsentReads = 0;
    std::function<void()> mTried;
  };

  static constexpr int kMaxTries = 3;
  static constexpr Duration kSettleInterval{ 1000 };
  // A lost write may take effect late; a claim that is absent in this many reads, one a second,
  // is taken to be never written.
  static constexpr int kAbsentReads = 10;

  void WriteClaimOf(const AcquirePtr& aCall)
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
      GiveUp(aCall);
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
      GiveUp(aCall);
      return;
    }
    if (aClaim && aClaim->mToken == aCall->mClaim.mToken) {
      aCall->mCallback({ ClaimResult::Kind::Held, *aClaim, aIndex });
      return;
    }
    if (aIndex == aCall->mExpected || aIndex == 0) {
      // The write didn't take effect, or the claim that was in its way has been deleted since.
      aCall->mExpected = aIndex;
      if (aCall->mTries < kMaxTries) {
        WriteClaimOf(aCall);
      } else {
        GiveUp(aCall);
      }
      return;
    }
    if (!aClaim) {
      GiveUp(aCall);
      return;
    }
    aCall->mCallback({ ClaimResult::Kind::Exists, *aClaim, aIndex });
  }

  void GiveUp(const AcquirePtr& aCall)
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
      FindSettlement(aToken);
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
    const auto tried = std::exchange(it->second.mTried, nullptr);
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

  // Reads the key to learn the claim's version, or that it is settled already.
  void FindSettlement(const std::string& aToken)
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
      const bool absent = !aError && aIndex == 0 && ++settlement.mAbsentReads >= kAbsentReads;
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
    mTimer = mLoop.After(kSettleInterval, [this] {
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
