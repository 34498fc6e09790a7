#pragma once

#include "base/EventLoop.h"
#include "kv/KeyValueStore.h"
#include "kv/KvError.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace lovagerock::routing {

// The outcome of one write of a claim.
enum class WriteOutcome
{
  Applied,
  // The key's version differed from the expected one; nothing was written.
  Conflict,
  // The store was unavailable or limited the rate; nothing was written.
  Unavailable,
  // The result of the write is unknown; it may have taken effect.
  Unknown,
};

// Batches the claim writes of up to 3 ms into one transaction, so that several hundred transactions
// per second are enough for thousands of claims. Not thread-safe: use it only on its event loop.
template<kv::KeyValueStore Store>
class ClaimBatcher
{
public:
  using Callback = std::function<void(WriteOutcome, kv::ModifyIndex)>;

  ClaimBatcher(EventLoop& aLoop, Store& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
  {
  }

  // Queues a compare-and-swap operation. Never runs the callback before it returns.
  void Write(kv::Operation aOperation, Callback aCallback)
  {
    // Two operations on one key in one transaction would fail together.
    if (std::any_of(mPending.begin(), mPending.end(), [&](const PendingWrite& aItem) {
          return aItem.mOperation.mKey == aOperation.mKey;
        })) {
      Flush();
    }
    mPending.push_back({ std::move(aOperation), std::move(aCallback) });
    if (mPending.size() >= kv::kMaxOperations) {
      Flush();
    } else if (!mTimer.IsPending()) {
      mTimer = mLoop.After(kBatchWindow, [this] { Flush(); });
    }
  }

private:
  struct PendingWrite
  {
    kv::Operation mOperation;
    Callback mCallback;
  };
  using PendingWrites = std::vector<PendingWrite>;

  static constexpr Duration kBatchWindow{ 3 };

  void Flush()
  {
    mTimer.Cancel();
    if (!mPending.empty()) {
      Send(std::exchange(mPending, {}), true);
    }
  }

  void Send(PendingWrites aItems, bool aMayBatchAgain)
  {
    std::vector<kv::Operation> operations;
    operations.reserve(aItems.size());
    for (const auto& it : aItems) {
      operations.push_back(it.mOperation);
    }
    const auto items = std::make_shared<PendingWrites>(std::move(aItems));
    mStore.Transact(std::move(operations),
                    [this, items, aMayBatchAgain, alive = std::weak_ptr<int>(mAlive)](
                      std::error_code aError, const kv::TransactionResult& aResult) {
                      if (!alive.expired()) {
                        OnResult(*items, aError, aResult, aMayBatchAgain);
                      }
                    });
  }

  void OnResult(PendingWrites& aItems, std::error_code aError, const kv::TransactionResult& aResult,
                bool aMayBatchAgain)
  {
    if (aError) {
      const bool noEffect =
        aError == kv::KvError::Unavailable || aError == kv::KvError::RateLimited;
      for (auto& it : aItems) {
        it.mCallback(noEffect ? WriteOutcome::Unavailable : WriteOutcome::Unknown, 0);
      }
      return;
    }
    if (aResult.mApplied) {
      for (std::size_t i = 0; i < aItems.size(); ++i) {
        const bool known = i < aResult.mModifyIndexes.size();
        aItems[i].mCallback(known ? WriteOutcome::Applied : WriteOutcome::Unknown,
                            known ? aResult.mModifyIndexes[i] : 0);
      }
      return;
    }
    ResendRemaining(aItems, aResult, aMayBatchAgain);
  }

  // Reports a conflict for the operations that made the transaction roll back, and sends the others
  // again: once as a batch, and one by one if that fails too or no operation is named as the cause.
  void
  ResendRemaining(PendingWrites& aItems, const kv::TransactionResult& aResult, bool aMayBatchAgain)
  {
    std::vector<bool> failed(aItems.size(), aItems.size() == 1);
    for (const auto it : aResult.mFailed) {
      if (it < failed.size()) {
        failed[it] = true;
      }
    }
    PendingWrites rest;
    for (std::size_t i = 0; i < aItems.size(); ++i) {
      if (failed[i]) {
        aItems[i].mCallback(WriteOutcome::Conflict, 0);
      } else {
        rest.push_back(std::move(aItems[i]));
      }
    }
    if (rest.size() < aItems.size() && aMayBatchAgain && !rest.empty()) {
      Send(std::move(rest), false);
      return;
    }
    for (auto& it : rest) {
      PendingWrites single;
      single.push_back(std::move(it));
      Send(std::move(single), false);
    }
  }

  EventLoop& mLoop;
  Store& mStore;
  PendingWrites mPending;
  Timer mTimer;
  std::shared_ptr<int> mAlive = std::make_shared<int>();
};

} // namespace lovagerock::routing
