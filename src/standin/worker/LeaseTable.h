#pragma once

#include "base/Units.h"
#include "standin/worker/TaskRunner.h"
#include "standin/worker/TaskSpec.h"
#include "workers/WorkerError.h"
#include "workers/WorkerState.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lovagerock::standin {

// How long a released id is refused.
inline constexpr Duration kTombstoneTime = std::chrono::minutes(10);
// Time that a task has to end after its lease expired.
inline constexpr Duration kExpiryStopTime{ 2000 };
// Time that the requests in progress have to end after their service lease expired.
inline constexpr Duration kServiceExpiryStopTime{ 30000 };

// A start or an end of the work under a lease.
struct LeaseEvent
{
  enum class Kind
  {
    Started,
    Ended,
  };

  Kind mKind = Kind::Started;
  // The lease after the event.
  workers::LeaseState mLease;
};

// The leases of one worker and the tasks that run under them. It has no clock of its own: every
// call gets the time, which must not go back. Refusals are WorkerError.
class LeaseTable
{
public:
  using Observer = std::function<void(const LeaseEvent&)>;

  LeaseTable(const Resources& aCapacity, Observer aObserver);

  // Reserves capacity. A known id gives its lease as it is.
  std::error_code
  Put(const workers::LeaseRequest& aRequest, TimePoint aNow, workers::LeaseState& aLease);
  std::error_code
  Start(const LeaseId& aId, const workers::Fence& aFence, Duration aTtl, TimePoint aNow);
  std::error_code Stop(const LeaseId& aId, const workers::Fence& aFence, Duration aDeadline,
                       bool aCheckpoint, TimePoint aNow);
  std::error_code
  Throttle(const LeaseId& aId, const workers::Fence& aFence, int aPercent, TimePoint aNow);
  std::error_code Checkpoint(const LeaseId& aId, const workers::Fence& aFence, TimePoint aNow);
  // Extends leases; gives the ids that aren't known.
  std::error_code
  Renew(const workers::Fence& aFence, Duration aTtl, const std::vector<LeaseId>& aIds,
        TimePoint aNow, std::vector<LeaseId>& aUnknown);
  // Frees the lease and refuses its id from now on, even if the id isn't known.
  std::error_code Release(const LeaseId& aId, const workers::Fence& aFence, TimePoint aNow);
  // The answer of a finished task.
  std::optional<std::string> Answer(const LeaseId& aId) const;

  // Takes a slot of a running service lease for a request; false if there is none.
  bool Admit(const LeaseId& aId, const ServiceId& aService);
  // Gives the slot back.
  void Leave(const LeaseId& aId);

  // Ends what is due: tasks, stops, checkpoints, leases and tombstones.
  void Advance(TimePoint aNow);
  // When Advance() has something to do next.
  std::optional<TimePoint> NextDue() const;

  // Refuses new leases and starts.
  void SetLeaving();
  // Makes tasks fail as soon as they start.
  void SetFailAll(bool aFailAll) { mFailAll = aFailAll; }
  // Stops everything that runs, as an expiry would.
  void StopAll(TimePoint aNow);

  std::vector<workers::LeaseState> States(TimePoint aNow) const;
  const workers::Fence& HighestFence() const { return mFence; }
  // Grows with each change of a lease or of the fence.
  std::uint64_t Sequence() const { return mSequence; }
  Accelerators BusyAccelerators() const;
  // Whether no lease is left.
  bool IsEmpty() const { return mLeases.empty(); }

private:
  struct Lease
  {
    workers::LeaseState mState;
    std::string mPayload;
    TaskSpec mSpec;
    TimePoint mExpires;
    std::optional<TaskRunner> mRunner;
    // When a stopping lease is stopped.
    std::optional<TimePoint> mStopAt;
    // A checkpoint that is being written: when it is complete, and the progress in it.
    std::optional<std::pair<TimePoint, Duration>> mWriting;
    std::string mAnswer;
    // Requests in progress under a service lease.
    int mActive = 0;
  };

  std::error_code CheckFence(const workers::Fence& aFence);
  Lease* Find(const LeaseId& aId);
  Resources Free() const;
  void Begin(Lease& aLease, TimePoint aNow);
  void End(Lease& aLease, workers::LeasePhase aPhase, const std::string& aError = {});
  void Finish(Lease& aLease);
  void BeginStop(Lease& aLease, Duration aDeadline, bool aCheckpoint, TimePoint aNow);
  void Expire(Lease& aLease, TimePoint aNow);
  void AdvanceLease(Lease& aLease, TimePoint aNow);
  void AddTombstone(const LeaseId& aId, TimePoint aNow);
  void Notify(LeaseEvent::Kind aKind, const Lease& aLease) const;

  Resources mCapacity;
  Observer mObserver;
  std::map<LeaseId, Lease> mLeases;
  std::unordered_set<LeaseId> mTombstones;
  std::deque<std::pair<TimePoint, LeaseId>> mTombstoneOrder;
  workers::Fence mFence;
  std::uint64_t mSequence = 1;
  bool mLeaving = false;
  bool mFailAll = false;
};

} // namespace lovagerock::standin
