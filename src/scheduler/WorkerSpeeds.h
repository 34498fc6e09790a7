#pragma once

#include "scheduler/DecayedEstimate.h"
#include "scheduler/Fleet.h"
#include "scheduler/JobSpec.h"
#include "scheduler/TaskRef.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace lovagerock::scheduler {

// The classes by which workers are chosen. They are few, so that workers of nearly the same speed
// are still chosen by the room that they have.
enum class SpeedClass
{
  Slow,
  Normal,
  Fast,
};
inline constexpr std::size_t kSpeedClasses = 3;

// Returns the name of the class as used in logs and metrics.
const char*
SpeedClassName(SpeedClass aClass);

// The speed of a worker relative to the mean of the fleet.
struct WorkerSpeed
{
  SpeedClass mClass = SpeedClass::Normal;
  double mSpeed = DecayedEstimate::kNeutral;

  // Whether work that needs the speed, at most 1, may be expected to get it here.
  bool Meets(double aNeeded) const { return mClass != SpeedClass::Slow || mSpeed >= aNeeded; }
};

// The number of workers in each class, and of the samples since the leader was elected.
struct SpeedCounts
{
  std::array<int, kSpeedClasses> mWorkers{};
  std::uint64_t mSamples = 0;
};

// Learns how fast workers are for good, from the runs of steps of independent tasks: the speed of a
// run relative to the other runs of its step, with regard to what is known of the workers of these.
// A gang tells nothing here: its members advance together, at the speed of a slowest one that isn't
// known, and two gangs can only be compared by estimates that are far less exact than the
// difference of the workers' speeds.
class WorkerSpeeds
{
public:
  // A run has progressed to aPercent, at aClock of its worker. Returns its speed since the last
  // call relative to the other runs of its step, and to what is known of a slow worker: one that is
  // as slow as always isn't doubtful. nullopt if that can't be told, or would tell nothing of the
  // worker.
  std::optional<double> OnProgress(const Worker& aWorker, PlacedRun& aRun, const StepSpec& aSpec,
                                   int aPercent, WorkerClock aClock, TimePoint aNow);
  // A run has completed, as a report of aClock tells.
  void OnDone(const Worker& aWorker, PlacedRun& aRun, const StepSpec& aSpec, WorkerClock aClock,
              TimePoint aNow);
  // Forgets the steps of which the runs can't be compared any more.
  void ForgetSteps(const std::function<bool(const StepKey&)>& aIsOver);

  // Returns the worker's speed. A cold worker counts as slow, and one of which nothing is known as
  // normal.
  WorkerSpeed Speed(const Worker& aWorker, TimePoint aNow) const;
  // Updates the classes and forgets the workers that are gone. To be called often; does nothing
  // within kRefreshPeriod of the last time.
  void Refresh(const Fleet& aFleet, TimePoint aNow);
  const SpeedCounts& Counts() const { return mCounts; }

  // Whether the record for the next leader differs much from the one that was taken last, and that
  // was long enough ago.
  bool IsRecordDue() const { return mIsRecordDue; }
  // Returns the record to store: the workers that aren't of the normal class.
  std::string TakeRecord(TimePoint aNow, std::int64_t aWallMs);
  // The record that was taken last wasn't stored.
  void OnRecordNotStored() { mIsRecordDue = true; }
  // Takes over what a former leader's record tells. Returns false if it is malformed, and learns
  // nothing then.
  bool ReadRecord(const std::string& aText, TimePoint aNow, std::int64_t aWallMs);

private:
  static constexpr Duration kRefreshPeriod{ 500 };

  struct Entry
  {
    DecayedEstimate mEstimate;
    // The incarnation that the estimate belongs to.
    WorkerIncarnation mIncarnation;
    SpeedClass mClass = SpeedClass::Normal;
  };
  // The speeds of the runs of a step.
  struct StepSpeeds
  {
    // Those of the last runs.
    TypicalSpeed mRecent;
    // The sums of the runs' speeds, in percent a millisecond, and of the speeds of their workers,
    // both weighted by the percents, so that each whole run counts the same. Their ratio is the
    // speed on a worker of the mean speed, and this way the mean of all estimates stays 1.
    double mSpeeds = 0;
    double mWorkerSpeeds = 0;
    int mSamples = 0;
  };

  // Returns the run's speed since its last known progress; nullopt if there is none, or too little
  // time has passed. Sets aElapsed to that time.
  static std::optional<double>
  TakeSpeed(PlacedRun& aRun, int aPercent, WorkerClock aClock, Duration& aElapsed);
  // Relates the speed to those of the runs of the step, and learns the worker's from it.
  void
  Learn(const Worker& aWorker, StepSpeeds& aStep, double aSpeed, Duration aElapsed, TimePoint aNow);
  // Returns the entry of the worker's present incarnation, or null if there is none.
  const Entry* Find(const Worker& aWorker) const;
  // Moves the entry to the class of its value, and logs if it becomes slow or no longer is.
  static void Classify(const WorkerId& aWorker, Entry& aEntry, TimePoint aNow);
  void CountClasses(const Fleet& aFleet, TimePoint aNow);
  // Returns the values to record, at most kMaxRecorded.
  std::map<WorkerId, double> RecordedValues(TimePoint aNow) const;
  // Whether the values differ much from the recorded ones.
  bool HasChanged(const std::map<WorkerId, double>& aValues) const;

  std::unordered_map<WorkerId, Entry> mEntries;
  // The speeds of the runs of each step of the jobs that aren't over.
  std::map<StepKey, StepSpeeds> mSteps;
  SpeedCounts mCounts;
  std::optional<TimePoint> mRefreshed;
  bool mIsRecordDue = false;
  // When the record was taken last, and the values in it.
  std::optional<TimePoint> mRecordTaken;
  std::map<WorkerId, double> mRecorded;
};

} // namespace lovagerock::scheduler
