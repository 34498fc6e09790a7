#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "scheduler/JobGroup.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagerock::control {

// The groups whose submissions are refused, in a form that is stored.
std::string
WriteClosedGroups(const std::set<scheduler::JobGroup>& aGroups);
// Returns nullopt if the text is malformed.
std::optional<std::set<scheduler::JobGroup>>
ReadClosedGroups(const std::string& aText);

// What is known of a job that is left in the store.
struct ParkedJob
{
  JobId mId;
  scheduler::JobGroup mGroup;
  std::string mQueue;
  // Whether the leader found it at its takeover.
  bool mIsInherited = false;
  bool mIsCancelled = false;
};

// Accounts for the memory that a leader's jobs take, and bounds it whatever was accepted.
//
// Submissions of a group are refused while it holds more than is free (a dynamic threshold, as in
// shared-memory switches): one group fills at most a half, two at most a third each, and there
// always is room for others. Nodes learn of it with a delay, and a new leader may have less memory
// than the one before. So a job that doesn't fit is parked: it stays in the store and is loaded
// when others have ended. Only jobs that have never begun are parked.
class Backlog
{
public:
  // What a parked job takes.
  static constexpr Bytes kParkedBytes{ 512 };

  explicit Backlog(Bytes aLimit)
    : mLimit(aLimit)
  {
  }

  // Whether a job of the group fits. Groups that hold next to nothing may use a reserve, so that
  // their jobs don't wait for those of a group that fills the rest.
  bool Fits(const scheduler::JobGroup& aGroup, Bytes aJob) const;
  // The same while a leader loads jobs at its takeover and doesn't know yet how much those take
  // that have begun.
  bool FitsAtTakeover(const scheduler::JobGroup& aGroup, Bytes aJob) const;
  // A job was given to the scheduler.
  void OnLoaded(const scheduler::JobGroup& aGroup, Bytes aJob);
  // Sets what the scheduler's jobs take: those that aren't over by group, and others.
  void SetLoaded(std::map<scheduler::JobGroup, Bytes> aGroups, Bytes aOthers);

  void Park(ParkedJob aJob);
  const ParkedJob* FindParked(const JobId& aJob) const;
  // Marks a parked job, which is loaded next so that its end is recorded. Returns false if it isn't
  // parked.
  bool CancelParked(const JobId& aJob);
  // Returns the parked job to load next, the first one of the group that holds least; nullopt if
  // there is none or it wouldn't fit. The job stays parked; it isn't returned again before
  // RetryParked().
  std::optional<JobId> NextParked();
  // Loading the job has failed.
  void RetryParked(const JobId& aJob);
  // The job was loaded, or is gone.
  void RemoveParked(const JobId& aJob);
  std::size_t ParkedCount() const { return mParked.size(); }
  // The number of parked jobs of a queue that aren't cancelled.
  int ParkedOf(const std::string& aQueue) const;

  // Returns the groups to refuse. A closed group is opened again once it holds clearly less.
  std::set<scheduler::JobGroup> UpdateClosed();
  Bytes Limit() const { return mLimit; }
  // What all jobs take, the parked ones too.
  Bytes Used() const;

private:
  Bytes UsedBy(const scheduler::JobGroup& aGroup) const;

  Bytes mLimit;
  std::map<scheduler::JobGroup, Bytes> mLoaded;
  // The sum of mLoaded, and ended jobs.
  Bytes mLoadedSum;
  std::unordered_map<JobId, ParkedJob> mParked;
  // Those to be loaded, by group in the order of their arrival.
  std::map<scheduler::JobGroup, std::deque<JobId>> mWaiting;
  std::vector<JobId> mCancelled;
  std::map<scheduler::JobGroup, int> mParkedOfGroup;
  std::set<scheduler::JobGroup> mClosed;
};

} // namespace lovagerock::control
