#pragma once

#include "base/Units.h"
#include "standin/platform/FreeRoom.h"
#include "standin/platform/JobTable.h"
#include "standin/platform/RunLedger.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::standin {

// Finds accepted jobs that nothing runs of, although a task, or a gang as a whole, could start and
// workers have room for it, however much of them is in use. Time counts only while nothing disrupts
// the system.
//
// A worker that is gone or silent disrupts the system only at the moment of the change: it is one
// of many, and the others have to be used meanwhile.
class IdleJobCheck
{
public:
  // A job may have nothing running for this long.
  static constexpr Duration kIdleLimit{ 3000 };
  // A disruption has an effect for this long after its end.
  static constexpr Duration kCalmTime{ 4000 };
  // The room that has to be free, as a multiple of what a task, or all tasks of a gang, need.
  static constexpr int kRoomFactor = 2;

  // A caller was told that the job is accepted.
  void OnAccepted(const std::string& aJob, std::vector<JobStep> aSteps, TimePoint aNow);
  // Something was killed, started, silenced or cut off, or works again.
  void OnDisruption(TimePoint aNow) { mDisruptedAt = aNow; }
  // Sets whether there is a disruption that goes on, such as a node that is stopped by a signal.
  void SetDisrupted(bool aIsDisrupted, TimePoint aNow);
  // Looks at all jobs; is called several times a second.
  void Look(const RunLedger& aLedger, const FreeRoom& aRoom, TimePoint aNow);
  // One text for each job that was idle for too long, with its longest time.
  std::vector<std::string> Violations() const;

private:
  struct Job
  {
    std::vector<JobStep> mSteps;
    // Since then nothing has run, with a task that could start and room for it.
    TimePoint mIdleSince;
    Duration mLongestIdle{ 0 };
    // The step that could have started then.
    std::size_t mIdleStep = 0;
    // How long the job had been accepted at the end of that time.
    Duration mAge{ 0 };
    TimePoint mAcceptedAt;
  };

  // The first step of which a task, or the gang, could start, if nothing runs of the job.
  static std::optional<std::size_t>
  FindIdleStep(const Job& aJob, const JobRuns& aRuns, const FreeRoom& aRoom);

  std::map<std::string, Job> mJobs;
  TimePoint mDisruptedAt{};
  TimePoint mLookedAt{};
  bool mIsDisrupted = false;
};

} // namespace lovagerock::standin
