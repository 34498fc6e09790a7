#pragma once

#include "base/Units.h"

#include <optional>

namespace lovagerock::scheduler {

// What the reports of a run's worker tell of the run's progress.
class RunProgress
{
public:
  // The worker reported that this many percent of the run are done.
  void OnReport(int aPercent, TimePoint aNow);
  // Returns the expected time until a run that was started at aStarted ends, 0 if it is overdue.
  // Taken from its pace once that is known, before from aEstimate, the estimate of its whole run
  // time. Since reports may be missing, the time that has passed since the last one counts as
  // worked.
  Duration Remaining(Duration aEstimate, TimePoint aStarted, TimePoint aNow) const;
  // Returns the time of a whole run at this run's pace; nullopt while too little is known.
  std::optional<Duration> TimeAtPace() const;
  // Returns the expected time until the run ends, by its pace alone; nullopt while the pace isn't
  // known, or if the last report is older than aMaxSilence.
  std::optional<Duration> RemainingAtPace(TimePoint aNow, Duration aMaxSilence) const;
  // Returns when the run was last known to have made no progress; nullopt if no report said so.
  std::optional<TimePoint> IdleUntil() const;

private:
  struct Report
  {
    int mPercent = 0;
    TimePoint mAt;
  };

  // The last report before the run made progress, else the first one.
  std::optional<Report> mFirst;
  Report mLast;
};

} // namespace lovagerock::scheduler
