#pragma once

#include "base/CallbackGuard.h"
#include "base/LogEvent.h"
#include "control/ControlSettings.h"
#include "control/Keys.h"
#include "kv/KvError.h"
#include "kv/PrefixStore.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Stores batches of progress, one at a time and in order. Each transaction also rewrites the batch
// key on condition of its revision, so that a transaction without a reply can't be applied after a
// newer one.
template<kv::PrefixStore Store>
class ProgressWriter
{
public:
  using Condition = kv::ConditionalWrites::Condition;

  ProgressWriter(Store& aStore, Condition aLeader, kv::Revision aBatchRevision)
    : mStore(aStore)
    , mLeader(std::move(aLeader))
    , mBatchRevision(aBatchRevision)
  {
  }

  bool IsBusy() const { return mIsBusy; }
  // The store's revision of the last transaction that this writer knows to be applied; 0 if there
  // was none. It is lower than that of any later claim of the leadership.
  kv::Revision AppliedRevision() const { return mAppliedRevision; }
  // Whether the last batch failed.
  bool IsFailing() const { return mIsFailing; }

  // Stores the writes in order, then deletes the keys; calls back with whether all of it was
  // applied. Large batches take several transactions, so a failed batch may be stored in part.
  // After each one, aOnPart is called with the number of writes that are stored.
  void
  StoreBatch(std::vector<kv::ConditionalWrites::Write> aWrites, std::vector<std::string> aDeletes,
             std::function<void(bool)> aDone, std::function<void(std::size_t)> aOnPart = {})
  {
    mIsBusy = true;
    mStoredWrites = 0;
    mOnPart = std::move(aOnPart);
    mWrites = std::move(aWrites);
    mDeletes = std::move(aDeletes);
    mDone = std::move(aDone);
    SendNext();
  }

private:
  // Transaction entries that every call needs: the leader's condition, and the condition and the
  // write of the batch key.
  static constexpr std::size_t kReservedEntries = 3;

  void SendNext()
  {
    if (mWrites.empty() && mDeletes.empty()) {
      Finish(true);
      return;
    }
    kv::ConditionalWrites call;
    call.mConditions = { mLeader, { std::string(kBatchKey), mBatchRevision } };
    call.mWrites.push_back({ std::string(kBatchKey), std::to_string(++mBatchNumber), {} });
    auto room = kv::kMaxTransactionEntries - kReservedEntries;
    mSentWrites = std::min(room, mWrites.size());
    call.mWrites.insert(call.mWrites.end(), mWrites.begin(),
                        mWrites.begin() + static_cast<long>(mSentWrites));
    room -= mSentWrites;
    mSentDeletes = std::min(room, mDeletes.size());
    call.mDeletes.assign(mDeletes.begin(), mDeletes.begin() + static_cast<long>(mSentDeletes));
    mStore.Write(call, mGuard.Wrap([this](std::error_code aError, kv::WriteOutcome aOutcome) {
      OnWritten(aError, aOutcome);
    }));
  }

  void OnWritten(std::error_code aError, const kv::WriteOutcome& aOutcome)
  {
    if (!aError && aOutcome.mApplied) {
      mBatchRevision = aOutcome.mRevision;
      mStoredWrites += mSentWrites;
      mAppliedRevision = aOutcome.mRevision;
      mWrites.erase(mWrites.begin(), mWrites.begin() + static_cast<long>(mSentWrites));
      mDeletes.erase(mDeletes.begin(), mDeletes.begin() + static_cast<long>(mSentDeletes));
      if (mOnPart) {
        mOnPart(mStoredWrites);
      }
      SendNext();
      return;
    }
    if (!aError && LearnBatchRevision(aOutcome)) {
      SendNext();
      return;
    }
    LogEvent("progress_not_stored", LogLevel::Warning)
      .With("writes", mWrites.size())
      .With("reason", aError ? aError.message() : std::string("condition_failed"));
    Finish(false);
  }

  // Takes the batch key's revision from the outcome of a transaction that wasn't applied. Returns
  // whether the transaction may be sent again at once: the leadership holds, so an earlier
  // transaction of this writer, which had no reply, has changed the batch key.
  bool LearnBatchRevision(const kv::WriteOutcome& aOutcome)
  {
    const auto known = mBatchRevision;
    bool isLeader = false;
    for (const auto& it : aOutcome.mPresent) {
      isLeader = isLeader || (it.mKey == mLeader.mKey && it.mRevision == mLeader.mRevision);
      if (it.mKey == kBatchKey) {
        mBatchRevision = it.mRevision;
      }
    }
    return isLeader && mBatchRevision != known;
  }

  void Finish(bool aIsStored)
  {
    mIsBusy = false;
    mIsFailing = !aIsStored;
    std::exchange(mDone, nullptr)(aIsStored);
  }

  Store& mStore;
  Condition mLeader;
  // The last known revision of the batch key, which a later leader may have written.
  kv::Revision mBatchRevision;
  kv::Revision mAppliedRevision;
  std::uint64_t mBatchNumber = 0;
  bool mIsBusy = false;
  bool mIsFailing = false;
  std::vector<kv::ConditionalWrites::Write> mWrites;
  std::vector<std::string> mDeletes;
  std::size_t mSentWrites = 0;
  std::size_t mStoredWrites = 0;
  std::size_t mSentDeletes = 0;
  std::function<void(bool)> mDone;
  std::function<void(std::size_t)> mOnPart;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
