#pragma once

#include "base/Ids.h"
#include "scheduler/WorkerReport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace lovagerock::scheduler {

// What is kept of a worker that was given up.
struct FormerWorker
{
  // The last known incarnation; 0 if none is known.
  WorkerIncarnation mIncarnation;
  // See Worker::mHasRestarted and Worker::mNeedsHigherToken.
  bool mHasRestarted = false;
  bool mNeedsHigherToken = false;
};

// The workers that a scheduler has called and then given up, because their entries are gone and
// their leases are over. An order without an answer may be carried out at any later time, also by
// a later incarnation under the same id, so no worker is forgotten because of its age.
//
// Of more workers than a limit, the first ones are forgotten. Any unknown worker may be one of them
// from then on.
class FormerWorkers
{
public:
  explicit FormerWorkers(std::size_t aMost)
    : mMost(aMost)
  {
  }

  void Add(const WorkerId& aWorker, const FormerWorker& aFormer);
  // Returns what is known of the worker, and keeps it no longer. Without a value the scheduler has
  // never called the worker.
  std::optional<FormerWorker> Take(const WorkerId& aWorker);
  std::size_t Count() const { return mWorkers.size(); }

private:
  struct Entry
  {
    FormerWorker mFormer;
    std::uint64_t mNumber = 0;
  };

  std::size_t mMost;
  std::map<WorkerId, Entry> mWorkers;
  // The workers by the numbers of their entries, which rise.
  std::map<std::uint64_t, WorkerId> mOrder;
  std::uint64_t mLastNumber = 0;
  bool mIsAnyForgotten = false;
};

} // namespace lovagerock::scheduler
