#pragma once

#include "scheduler/Orders.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Holds start orders back until the stored progress names their runs. So a leader that takes over
// finds each run that may be in progress in the loaded progress, and has to wait only for the
// workers that it names.
//
// Progress is stored in batches. While one is being stored, the progress of the jobs of later
// orders may be stored before the rest of it.
class HeldStarts
{
public:
  // The progress that is taken next names the orders' runs.
  void Add(std::vector<scheduler::StartOrder> aOrders) { Append(mUnnamed, std::move(aOrders)); }
  // Whether there are orders whose runs no progress names yet.
  bool HasUnnamed() const { return !mUnnamed.empty(); }
  // The jobs of those orders.
  std::set<JobId> UnnamedJobs() const { return JobsOf(mUnnamed); }
  // The progress of all changed jobs was taken to be stored.
  void OnTaken() { Append(mStoring, std::exchange(mUnnamed, {})); }
  // The jobs of the orders whose runs are being stored so.
  std::set<JobId> StoringJobs() const { return JobsOf(mStoring); }
  // A part of it is stored. Releases the orders of the jobs of which aIsAwaited says that their
  // progress isn't awaited any more.
  template<typename IsAwaited>
  void OnPartStored(const IsAwaited& aIsAwaited)
  {
    const auto stored =
      std::stable_partition(mStoring.begin(), mStoring.end(), [&aIsAwaited](const auto& aIt) {
        return aIsAwaited(aIt.mRun.mTask.mJob);
      });
    mStored.insert(mStored.end(), std::make_move_iterator(stored),
                   std::make_move_iterator(mStoring.end()));
    mStoring.erase(stored, mStoring.end());
  }
  // The outcome of storing it: if it isn't known to be stored, it will be taken again.
  void OnStored(bool aIsStored)
  {
    Append(aIsStored ? mStored : mUnnamed, std::exchange(mStoring, {}));
  }
  // The same of the progress of UnnamedJobs(), which was taken to be stored before the rest.
  void OnTakenFirst() { Append(mStoringFirst, std::exchange(mUnnamed, {})); }
  void OnFirstStored(bool aIsStored)
  {
    Append(aIsStored ? mStored : mUnnamed, std::exchange(mStoringFirst, {}));
  }
  // Returns the orders whose runs are named by stored progress, and holds them no longer.
  std::vector<scheduler::StartOrder> TakeStored() { return std::exchange(mStored, {}); }
  // Holds an order again that was taken and not sent.
  void Return(scheduler::StartOrder aOrder) { mStored.push_back(std::move(aOrder)); }
  // The runs of all orders that are held back.
  std::set<scheduler::RunRef> Runs() const
  {
    std::set<scheduler::RunRef> runs;
    for (const auto* orders : { &mUnnamed, &mStoring, &mStoringFirst, &mStored }) {
      for (const auto& it : *orders) {
        runs.insert(it.mRun);
      }
    }
    return runs;
  }

private:
  static std::set<JobId> JobsOf(const std::vector<scheduler::StartOrder>& aOrders)
  {
    std::set<JobId> jobs;
    for (const auto& it : aOrders) {
      jobs.insert(it.mRun.mTask.mJob);
    }
    return jobs;
  }

  static void
  Append(std::vector<scheduler::StartOrder>& aTo, std::vector<scheduler::StartOrder> aFrom)
  {
    aTo.insert(aTo.end(), std::make_move_iterator(aFrom.begin()),
               std::make_move_iterator(aFrom.end()));
  }

  std::vector<scheduler::StartOrder> mUnnamed;
  std::vector<scheduler::StartOrder> mStoring;
  std::vector<scheduler::StartOrder> mStoringFirst;
  std::vector<scheduler::StartOrder> mStored;
};

} // namespace lovagerock::control
