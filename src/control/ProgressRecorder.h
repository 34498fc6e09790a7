#pragma once

#include "base/EventLoop.h"
#include "control/ControlSettings.h"
#include "control/HeldStarts.h"
#include "control/Keys.h"
#include "control/LeaderHistory.h"
#include "control/ProgressWriter.h"
#include "control/ProgressWrites.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Records that are stored after the progress of a batch.
struct FurtherRecords
{
  std::vector<kv::ConditionalWrites::Write> mWrites;
  std::vector<std::string> mDeletes;
  // Receives whether all of the batch is known to be stored.
  std::function<void(bool)> mOnDone;
};

// Functions of the leader that ProgressRecorder calls.
struct ProgressRecorderHooks
{
  // Whether this node leads. Writes have no effect after another leader was elected.
  std::function<bool()> mIsLeader;
  // Whether there are further records to store, and what they are then.
  std::function<bool()> mAreFurtherDue;
  std::function<FurtherRecords()> mTakeFurther;
  // Stored progress names the runs of more orders, see ProgressRecorder::TakeNamedStarts().
  std::function<void()> mOnStartsNamed;
  // All of a batch is stored: workers may drop the ends that it has processed. The token is lower
  // than that of any later leader, and no call before has carried it.
  std::function<void(const scheduler::ProgressBatch&, FencingToken)> mOnBatchStored;
};

// Stores the scheduler's progress in batches, and holds back what must not happen before: that
// start orders are sent until stored progress names their runs, and all that relies on a batch
// until the whole batch is stored.
template<kv::PrefixStore Store>
class ProgressRecorder
{
public:
  // The condition is that of the leadership, aBatchRevision the last known one of the batch key.
  ProgressRecorder(EventLoop& aLoop, Store& aStore, scheduler::Scheduler& aScheduler,
                   kv::ConditionalWrites::Condition aLeader, kv::Revision aBatchRevision,
                   ProgressRecorderHooks aHooks)
    : mLoop(aLoop)
    , mScheduler(aScheduler)
    , mHooks(std::move(aHooks))
    , mWriter(aStore, std::move(aLeader), aBatchRevision)
  {
  }

  // Holds orders back whose runs the progress names that is taken next.
  void HoldStarts(std::vector<scheduler::StartOrder> aOrders)
  {
    mHeldStarts.Add(std::move(aOrders));
  }
  // Returns the orders whose runs are named by stored progress, and holds them no longer.
  std::vector<scheduler::StartOrder> TakeNamedStarts() { return mHeldStarts.TakeStored(); }
  // Holds an order again that was taken and not sent.
  void ReturnStart(scheduler::StartOrder aOrder) { mHeldStarts.Return(std::move(aOrder)); }
  // The runs of all orders that are held back.
  std::set<scheduler::RunRef> HeldRuns() const { return mHeldStarts.Runs(); }

  // Stores what has changed: soon, or at once if starts wait for it.
  void Schedule()
  {
    // Starts wait for their records, so these aren't batched with later changes.
    const bool isUrgent = mHeldStarts.HasUnnamed() && !mWriter.IsFailing();
    if (mWriter.IsBusy()) {
      if (isUrgent && !mWriter.IsFirstBusy()) {
        StoreHeldStarts();
      }
      return;
    }
    const bool isDue = mScheduler.HasProgress() || mHooks.mAreFurtherDue();
    if ((mTimer.IsPending() && !isUrgent) || !isDue) {
      return;
    }
    const auto delay = isUrgent ? Duration(0) : kStoreDelay;
    mTimer = mLoop.After(mWriter.IsFailing() ? kStoreRetryDelay : delay, [this] { StoreBatch(); });
  }

private:
  // What is stored as one batch.
  struct Batch
  {
    scheduler::ProgressBatch mProgress;
    std::function<void(bool)> mOnFurtherDone;
  };

  // Stores the records of the runs that were planned while a batch is being stored. After a
  // takeover, or a cancellation of many jobs, the rest of it takes many transactions.
  void StoreHeldStarts()
  {
    const auto first = std::make_shared<scheduler::ProgressBatch>(
      mScheduler.TakeProgressOf(mHeldStarts.UnnamedJobs()));
    mHeldStarts.OnTakenFirst();
    DropReplaced(*first);
    mWriter.StoreFirst(WritesOf(first->mWrites), [this, first](bool aIsStored) {
      mHeldStarts.OnFirstStored(aIsStored);
      if (aIsStored) {
        mScheduler.OnStored(*first);
        mHooks.mOnStartsNamed();
      } else {
        mScheduler.OnNotStored(*first);
      }
      Schedule();
    });
  }

  // Leaves the jobs of a later batch out of the one that is being stored, whose progress of them it
  // replaces.
  void DropReplaced(const scheduler::ProgressBatch& aLater)
  {
    if (mStoring) {
      std::erase_if(mStoring->mProgress.mWrites, [&aLater](const auto& aIt) {
        return std::any_of(aLater.mWrites.begin(), aLater.mWrites.end(),
                           [&aIt](const auto& aLaterIt) { return aLaterIt.mJob == aIt.mJob; });
      });
    }
  }

  void StoreBatch()
  {
    if (mWriter.IsBusy() || !mHooks.mIsLeader()) {
      return;
    }
    mStoring.emplace(Batch{ mScheduler.TakeProgress(), {} });
    mHeldStarts.OnTaken();
    auto& progress = mStoring->mProgress;
    PutFirst(mHeldStarts.StoringJobs(), progress.mWrites);
    auto writes = WritesOf(progress.mWrites);
    // After the progress, as ProgressBatch requires.
    auto racks = ChangesOf(progress.mRacks);
    auto further = mHooks.mTakeFurther();
    mStoring->mOnFurtherDone = std::move(further.mOnDone);
    Append(writes, std::move(racks.mWrites));
    Append(writes, std::move(further.mWrites));
    Append(further.mDeletes, std::move(racks.mDeletes));
    mWriter.StoreBatch(
      std::move(writes), std::move(further.mDeletes),
      [this](bool aIsStored) { OnBatchDone(aIsStored); },
      [this](const AwaitedRecords& aAwaited) { OnPartStored(aAwaited); });
  }

  void OnPartStored(const AwaitedRecords& aAwaited)
  {
    mHeldStarts.OnPartStored(
      [&aAwaited](const JobId& aJob) { return aAwaited.Contains(KeyOf(kProgressPrefix, aJob)); });
    mHooks.mOnStartsNamed();
  }

  void OnBatchDone(bool aIsStored)
  {
    const auto batch = *std::exchange(mStoring, std::nullopt);
    mHeldStarts.OnStored(aIsStored);
    if (aIsStored) {
      mScheduler.OnStored(batch.mProgress);
    } else {
      mScheduler.OnNotStored(batch.mProgress);
    }
    batch.mOnFurtherDone(aIsStored);
    if (aIsStored) {
      // Written on condition of the leadership, so it is lower than the token of any later leader.
      mHooks.mOnBatchStored(batch.mProgress, FencingToken(mWriter.AppliedRevision().Value()));
    }
    Schedule();
  }

  template<typename T>
  static void Append(std::vector<T>& aTo, std::vector<T> aFrom)
  {
    aTo.insert(aTo.end(), std::make_move_iterator(aFrom.begin()),
               std::make_move_iterator(aFrom.end()));
  }

  EventLoop& mLoop;
  scheduler::Scheduler& mScheduler;
  ProgressRecorderHooks mHooks;
  ProgressWriter<Store> mWriter;
  HeldStarts mHeldStarts;
  // What is being stored, but for StoreHeldStarts().
  std::optional<Batch> mStoring;
  Timer mTimer;
};

} // namespace lovagerock::control
