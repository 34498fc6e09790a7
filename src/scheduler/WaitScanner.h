#pragma once

#include "scheduler/Scheduler.h"
#include "scheduler/WaitReason.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagerock::scheduler {

// Finds out why steps wait. Reads the scheduler's state after a plan and changes nothing there.
// What keeps a step from room is decided by the same concessions as the plan's, see Concession.
//
// A scan visits each task and each run once; what keeps workers from a step is examined for the
// steps that have waited longest only, kMaxExaminedSteps at most. It is meant to be made about once
// a second.
class WaitScanner
{
public:
  explicit WaitScanner(Scheduler& aScheduler)
    : mScheduler(aScheduler)
  {
  }

  // aMayStart is what the last plan was made with. aHeldStarts are the runs whose start orders the
  // caller holds back.
  WaitReport
  Scan(const CurrentTime& aNow, bool aMayStart, const std::set<RunRef>& aHeldStarts = {});

  // The most steps for which a scan examines what keeps workers from them.
  static constexpr std::size_t kMaxExaminedSteps = 32;

private:
  using DueStep = Scheduler::DueStep;

  // Tasks of a step that wait for the same kind of event.
  struct Group
  {
    int mTasks = 0;
    TimePoint mSince = TimePoint::max();
    // The worker that is waited for; null for none.
    const WorkerId* mWorker = nullptr;
  };
  // The tasks of a step by what they wait for.
  struct StepGroups
  {
    Group mWaiting;
    Group mUnreported;
    Group mStopping;
    int mRunning = 0;
    // The worker of a task that runs.
    const WorkerId* mRunningWorker = nullptr;
  };
  // A wait, and the step to be examined if it waits for workers.
  struct FoundWait
  {
    WaitingStep mWait;
    std::optional<DueStep> mDue;
  };
  // A run that is being stopped.
  struct Stop
  {
    const WorkerId* mWorker = nullptr;
    TimePoint mSince;
  };
  UnansweredWorkers FindUnanswered(const CurrentTime& aNow);
  void FindStops(const CurrentTime& aNow);
  void FindLateStarts(const CurrentTime& aNow, const std::set<RunRef>& aHeldStarts,
                      std::vector<FoundWait>& aFound) const;
  void AddJob(Job& aJob, const UnansweredWorkers& aUnanswered, bool aMayStart,
              const CurrentTime& aNow, std::vector<FoundWait>& aFound) const;
  StepGroups GroupTasks(const Step& aStep, const TaskRef& aFirst, TimePoint aReady,
                        const CurrentTime& aNow, bool aHasStops) const;
  // Sets the reason for tasks that have no run, as far as it doesn't depend on workers; otherwise
  // leaves it at NotExamined.
  void
  DescribeWaiting(const Job& aJob, const StepGroups& aGroups, const UnansweredWorkers& aUnanswered,
                  bool aMayStart, WaitingStep& aWait) const;
  std::optional<Duration> LeaseLeft(const WorkerId& aWorker, const CurrentTime& aNow) const;
  // Finds out what keeps workers from the step, by what the last plan has left free.
  void Examine(const DueStep& aDue, const Placer& aPlacer, const CurrentTime& aNow,
               WaitingStep& aWait) const;

  Scheduler& mScheduler;
  // The runs that are being stopped, by task, each with the first scan that found it.
  std::map<TaskRef, Stop> mStops;
  // The jobs of these.
  std::set<JobId> mJobsWithStops;
  // For each service, a worker that accepts work and hasn't answered.
  std::map<ServiceId, const WorkerId*> mSilentWorkers;
};

} // namespace lovagerock::scheduler
