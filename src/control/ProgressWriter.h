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

// Stores batches of progress, one at a time and in order. Each transaction also rewrites a key
// whose version it expects, so that one whose answer was lost can't be carried out after a newer
// one.
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
  // Whether the last write failed.
  bool IsFailing() const { return mIsFailing; }

  // Stores the writes in their order, then deletes the keys; calls back with whether all of it is
  // stored.
  void Begin(std::vector<kv::ConditionalWrites::Write> aWrites, std::vector<std::string> aDeletes,
             std::function<void(bool)> aDone)
  {
    mIsBusy = true;
    mWrites = std::move(aWrites);
    mDeletes = std::move(aDeletes);
    mDone = std::move(aDone);
    SendNext();
  }

private:
  // The leader's condition, and the condition and the write of the batch key.
  static constexpr std::size_t kOwnEntries = 3;

  void SendNext()
  {
    if (mWrites.empty() && mDeletes.empty()) {
      Finish(true);
      return;
    }
    kv::ConditionalWrites call;
    call.mConditions = { mLeader, { std::string(kBatchKey), mBatchRevision } };
    call.mWrites.push_back({ std::string(kBatchKey), std::to_string(++mNumber), {} });
    auto room = kv::kMaxTransactionEntries - kOwnEntries;
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
      mWrites.erase(mWrites.begin(), mWrites.begin() + static_cast<long>(mSentWrites));
      mDeletes.erase(mDeletes.begin(), mDeletes.begin() + static_cast<long>(mSentDeletes));
      SendNext();
      return;
    }
    if (!aError) {
      // An earlier transaction without an answer was carried out, or the leadership is lost.
      for (const auto& it : aOutcome.mPresent) {
        if (it.mKey == kBatchKey) {
          mBatchRevision = it.mRevision;
        }
      }
    }
    LogEvent("progress_not_stored", LogLevel::Warning)
      .With("writes", mWrites.size())
      .With("reason", aError ? aError.message() : std::string("condition_failed"));
    Finish(false);
  }

  void Finish(bool aIsStored)
  {
    mIsBusy = false;
    mIsFailing = !aIsStored;
    std::exchange(mDone, nullptr)(aIsStored);
  }

  Store& mStore;
  Condition mLeader;
  kv::Revision mBatchRevision;
  std::uint64_t mNumber = 0;
  bool mIsBusy = false;
  bool mIsFailing = false;
  std::vector<kv::ConditionalWrites::Write> mWrites;
  std::vector<std::string> mDeletes;
  std::size_t mSentWrites = 0;
  std::size_t mSentDeletes = 0;
  std::function<void(bool)> mDone;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
