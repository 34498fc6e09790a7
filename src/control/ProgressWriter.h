#pragma once

#include "base/CallbackGuard.h"
#include "base/LogEvent.h"
#include "control/AwaitedRecords.h"
#include "control/ControlSettings.h"
#include "control/Keys.h"
#include "kv/KvError.h"
#include "kv/PrefixStore.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Stores batches of progress, one transaction at a time. Each transaction also rewrites the batch
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

  bool IsBusy() const { return mBatch || mFirst; }
  // Whether StoreFirst() may not be called.
  bool IsFirstBusy() const { return mFirst.has_value(); }
  // The store's revision of the last transaction that this writer knows to be applied; 0 if there
  // was none. It is lower than that of any later claim of the leadership.
  kv::Revision AppliedRevision() const { return mAppliedRevision; }
  // Whether the last batch failed.
  bool IsFailing() const { return mIsFailing; }

  // Stores the writes in order, then deletes the keys; calls back with whether all of it was
  // applied. Large batches take several transactions, so a failed batch may be stored in part.
  // After each one, aOnPart is called with the records of the batch that aren't stored yet.
  void StoreBatch(std::vector<kv::ConditionalWrites::Write> aWrites,
                  std::vector<std::string> aDeletes, std::function<void(bool)> aDone,
                  std::function<void(const AwaitedRecords&)> aOnPart = {})
  {
    mBatch.emplace(std::move(aWrites), std::move(aDeletes), std::move(aDone), std::move(aOnPart));
    SendNext();
  }

  // Stores the writes between two transactions of the batch that is being stored, in place of the
  // writes of the same keys that the batch still has. They have to be newer than the batch, which
  // isn't stored before they are. If one of the two fails, so does the other.
  void
  StoreFirst(std::vector<kv::ConditionalWrites::Write> aWrites, std::function<void(bool)> aDone)
  {
    if (mBatch) {
      const auto sent = mIsSending && !mIsFirstSent ? mSentWrites : 0;
      auto& rest = mBatch->mWrites;
      rest.erase(std::remove_if(rest.begin() + static_cast<long>(sent), rest.end(),
                                [&aWrites](const auto& aIt) { return HasKey(aWrites, aIt.mKey); }),
                 rest.end());
    }
    mFirst.emplace(std::move(aWrites), std::vector<std::string>(), std::move(aDone));
    SendNext();
  }

private:
  // Transaction entries that every call needs: the leader's condition, and the condition and the
  // write of the batch key.
  static constexpr std::size_t kReservedEntries = 3;
  // A transaction ends with the write that reaches this size. The records of jobs with thousands of
  // tasks have hundreds of KiB each, and a transaction is in memory several times over.
  static constexpr std::size_t kMaxTransactionBytes = 512 * 1024;

  struct Batch
  {
    Batch(std::vector<kv::ConditionalWrites::Write> aWrites, std::vector<std::string> aDeletes,
          std::function<void(bool)> aDone, std::function<void(const AwaitedRecords&)> aOnPart = {})
      : mWrites(std::move(aWrites))
      , mDeletes(std::move(aDeletes))
      , mAwaited(mWrites, mDeletes)
      , mDone(std::move(aDone))
      , mOnPart(std::move(aOnPart))
    {
    }

    // What is still to be sent, or is under way.
    std::vector<kv::ConditionalWrites::Write> mWrites;
    std::vector<std::string> mDeletes;
    // The batch is stored once none of these is left.
    AwaitedRecords mAwaited;
    std::function<void(bool)> mDone;
    std::function<void(const AwaitedRecords&)> mOnPart;
  };

  static bool
  HasKey(const std::vector<kv::ConditionalWrites::Write>& aWrites, const std::string& aKey)
  {
    return std::any_of(aWrites.begin(), aWrites.end(),
                       [&aKey](const auto& aIt) { return aIt.mKey == aKey; });
  }

  // Sends the next transaction unless one is under way, then calls back for what is stored. In this
  // order, so that urgent writes which a callback adds come after one transaction of the batch.
  void SendNext()
  {
    if (mIsSending) {
      return;
    }
    const auto callbacks = TakeStored();
    if (IsBusy()) {
      mIsFirstSent = mFirst.has_value();
      Send();
    }
    for (const auto& it : callbacks) {
      it(true);
    }
  }

  // The batch of the transaction that was sent last.
  std::optional<Batch>& Sent() { return mIsFirstSent ? mFirst : mBatch; }

  void Send()
  {
    mIsSending = true;
    const auto& batch = *Sent();
    kv::ConditionalWrites call;
    call.mConditions = { mLeader, { std::string(kBatchKey), mBatchRevision } };
    call.mWrites.push_back({ std::string(kBatchKey), std::to_string(++mBatchNumber), {} });
    auto room = kv::kMaxTransactionEntries - kReservedEntries;
    mSentWrites = CountWrites(batch.mWrites, room);
    call.mWrites.insert(call.mWrites.end(), batch.mWrites.begin(),
                        batch.mWrites.begin() + static_cast<long>(mSentWrites));
    room = mSentWrites < batch.mWrites.size() ? 0 : room - mSentWrites;
    mSentDeletes = std::min(room, batch.mDeletes.size());
    call.mDeletes.assign(batch.mDeletes.begin(),
                         batch.mDeletes.begin() + static_cast<long>(mSentDeletes));
    mStore.Write(call, mGuard.Wrap([this](std::error_code aError, kv::WriteOutcome aOutcome) {
      OnWritten(aError, aOutcome);
    }));
  }

  // Returns how many of the writes fit into a transaction; at least one.
  static std::size_t
  CountWrites(const std::vector<kv::ConditionalWrites::Write>& aWrites, std::size_t aRoom)
  {
    std::size_t bytes = 0;
    std::size_t n = 0;
    while (n < std::min(aRoom, aWrites.size()) && bytes < kMaxTransactionBytes) {
      bytes += aWrites[n++].mValue.size();
    }
    return n;
  }

  void OnWritten(std::error_code aError, const kv::WriteOutcome& aOutcome)
  {
    if (!aError && aOutcome.mApplied) {
      OnApplied(aOutcome.mRevision);
      return;
    }
    if (!aError && LearnBatchRevision(aOutcome)) {
      // The same one, since a later one may have newer values of its keys.
      Send();
      return;
    }
    mIsSending = false;
    mIsFailing = true;
    LogEvent("progress_not_stored", LogLevel::Warning)
      .With("writes", Sent()->mWrites.size())
      .With("reason", aError ? aError.message() : std::string("condition_failed"));
    for (auto* batch : { &mFirst, &mBatch }) {
      if (*batch) {
        const auto done = std::move((*batch)->mDone);
        batch->reset();
        done(false);
      }
    }
  }

  void OnApplied(kv::Revision aRevision)
  {
    mIsSending = false;
    mBatchRevision = aRevision;
    mAppliedRevision = aRevision;
    auto& batch = *Sent();
    const auto writesEnd = batch.mWrites.begin() + static_cast<long>(mSentWrites);
    const auto deletesEnd = batch.mDeletes.begin() + static_cast<long>(mSentDeletes);
    std::for_each(batch.mWrites.begin(), writesEnd,
                  [this](const auto& aIt) { OnStored(aIt.mKey); });
    std::for_each(batch.mDeletes.begin(), deletesEnd, [this](const auto& aIt) { OnStored(aIt); });
    batch.mWrites.erase(batch.mWrites.begin(), writesEnd);
    batch.mDeletes.erase(batch.mDeletes.begin(), deletesEnd);
    if (mBatch && mBatch->mOnPart) {
      mBatch->mOnPart(mBatch->mAwaited);
    }
    SendNext();
  }

  // The transaction that was sent last has stored or deleted the key.
  void OnStored(const std::string& aKey)
  {
    if (mIsFirstSent) {
      mFirst->mAwaited.OnStored(aKey);
    }
    if (mBatch) {
      // What is stored first is newer than the batch, so it counts for the batch's records too.
      mBatch->mAwaited.OnStored(aKey);
    }
  }

  // Removes what has all of its records stored, and returns its callbacks.
  std::vector<std::function<void(bool)>> TakeStored()
  {
    std::vector<std::function<void(bool)>> callbacks;
    for (auto* batch : { &mFirst, &mBatch }) {
      if (*batch && (*batch)->mAwaited.IsEmpty()) {
        mIsFailing = false;
        callbacks.push_back(std::move((*batch)->mDone));
        batch->reset();
      }
    }
    return callbacks;
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

  Store& mStore;
  Condition mLeader;
  // The last known revision of the batch key, which a later leader may have written.
  kv::Revision mBatchRevision;
  kv::Revision mAppliedRevision;
  std::uint64_t mBatchNumber = 0;
  bool mIsFailing = false;
  std::optional<Batch> mBatch;
  // The one that is stored before the rest of mBatch.
  std::optional<Batch> mFirst;
  // Whether a transaction is under way, whether it is or was one of mFirst, and what it holds.
  bool mIsSending = false;
  bool mIsFirstSent = false;
  std::size_t mSentWrites = 0;
  std::size_t mSentDeletes = 0;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
