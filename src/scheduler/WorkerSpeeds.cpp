#include "scheduler/WorkerSpeeds.h"

#include "base/Json.h"
#include "base/LogEvent.h"
#include "scheduler/Limits.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lovagerock::scheduler {

namespace {

// A run's speed is taken over at least this time, because progress is reported in whole percents.
constexpr Duration kMinSpeedSample{ 300 };
// The same for the time up to the end of a run, which is reported a little later than progress.
constexpr Duration kMinLastSample{ 1000 };
// The speed of a step's runs is typical after this many samples.
constexpr int kTypicalSamples = 3;
// A single sample counts as at most this many times the mean speed.
constexpr double kMaxSpeed = 4;
// A worker becomes slow below the first value and is so up to the second one, and fast accordingly.
// The gaps keep a worker at a limit from changing its class with each sample.
constexpr double kSlowBelow = 0.75;
constexpr double kSlowUpTo = 0.85;
constexpr double kFastAbove = 1.35;
constexpr double kFastDownTo = 1.25;
// A cold worker is assumed to be at most this fast.
constexpr double kColdSpeed = 0.5;
// The estimate of a worker that isn't in the fleet is kept for this time. After a takeover, the
// record may be read before the workers' entries.
constexpr Duration kKeepUnlisted{ 60'000 };
// Time between two records, and the difference of a worker's value that calls for a new one.
constexpr Duration kRecordPeriod{ 5'000 };
constexpr double kRecordedDifference = 0.15;
// Bounds the record at about 30 KiB.
constexpr std::size_t kMaxRecorded = 500;

SpeedClass
NextClass(SpeedClass aClass, double aValue)
{
  if (aValue < kSlowBelow || (aClass == SpeedClass::Slow && aValue <= kSlowUpTo)) {
    return SpeedClass::Slow;
  }
  if (aValue > kFastAbove || (aClass == SpeedClass::Fast && aValue >= kFastDownTo)) {
    return SpeedClass::Fast;
  }
  return SpeedClass::Normal;
}

// Whether the run goes as fast on this worker as on any other of the same speed.
bool
IsComparable(const Worker& aWorker, const StepSpec& aSpec)
{
  const bool isRemote = aSpec.mRackLocal || (!aSpec.mPreferredRack.IsEmpty() &&
                                             aSpec.mPreferredRack != aWorker.mEntry.mRack);
  return !aSpec.mLongRunning && !isRemote;
}

StepKey
KeyOf(const PlacedRun& aRun)
{
  const auto& task = aRun.mRun.mTask;
  return { task.mJob, task.mOccurrence, task.mStep };
}

// The record is written in thousandths.
double
Rounded(double aValue)
{
  return std::round(aValue * 1000) / 1000;
}

// A row of the record: [worker, incarnation, mean, spread, samples, age in milliseconds].
struct Row
{
  WorkerId mWorker;
  WorkerIncarnation mIncarnation;
  DecayedEstimate mEstimate;
};

Row
ReadRow(const Json& aJson, Duration aRecordAge, TimePoint aNow)
{
  const Duration age(JsonInRange(aJson.at(5), std::int64_t{ 0 }, kMaxDuration.count()));
  return { WorkerId(aJson.at(0).get<std::string>()),
           WorkerIncarnation(JsonInRange(aJson.at(1), std::int64_t{ 0 }, kMaxTimeMs)),
           DecayedEstimate(JsonInRange(aJson.at(2), 0.0, kMaxSpeed),
                           JsonInRange(aJson.at(3), 0.0, kMaxSpeed),
                           JsonInRange(aJson.at(4), 0.0, DecayedEstimate::kMaxSamples),
                           aNow - age - aRecordAge) };
}

} // namespace

const char*
SpeedClassName(SpeedClass aClass)
{
  switch (aClass) {
    case SpeedClass::Slow:
      return "slow";
    case SpeedClass::Normal:
      return "normal";
    case SpeedClass::Fast:
      return "fast";
  }
  return "normal";
}

std::optional<double>
WorkerSpeeds::TakeSpeed(PlacedRun& aRun, int aPercent, WorkerClock aClock, Duration& aElapsed)
{
  aElapsed = Duration(aClock.Value() - aRun.mPercentClock.Value());
  if (aRun.mPercentClock != WorkerClock() && aElapsed < kMinSpeedSample) {
    return std::nullopt;
  }
  const auto before = std::exchange(aRun.mPercentClock, aClock);
  const auto percent = std::exchange(aRun.mPercent, aPercent);
  if (before == WorkerClock()) {
    return std::nullopt;
  }
  return static_cast<double>(aPercent - percent) / static_cast<double>(aElapsed.count());
}

std::optional<double>
WorkerSpeeds::OnProgress(const Worker& aWorker, PlacedRun& aRun, const StepSpec& aSpec,
                         int aPercent, WorkerClock aClock, TimePoint aNow)
{
  // A member of a gang makes no progress before all of them are present.
  const bool isWaiting = aSpec.mGang && aPercent == 0;
  if (!IsComparable(aWorker, aSpec) || isWaiting) {
    return std::nullopt;
  }
  Duration elapsed{ 0 };
  const auto speed = TakeSpeed(aRun, aPercent, aClock, elapsed);
  if (!speed) {
    return std::nullopt;
  }
  auto& step = mSteps[KeyOf(aRun)];
  if (!aSpec.mGang) {
    Learn(aWorker, step, *speed, elapsed, aNow);
  }
  const auto relative = step.mRecent.Relate(*speed);
  const auto* known = Find(aWorker);
  const bool isKnownAsSlow = known && known->mClass == SpeedClass::Slow;
  return relative && isKnownAsSlow ? *relative / known->mEstimate.Value(aNow) : relative;
}

void
WorkerSpeeds::OnDone(const Worker& aWorker, PlacedRun& aRun, const StepSpec& aSpec,
                     WorkerClock aClock, TimePoint aNow)
{
  const auto step = mSteps.find(KeyOf(aRun));
  if (!IsComparable(aWorker, aSpec) || aSpec.mGang || step == mSteps.end()) {
    return;
  }
  constexpr int kWhole = 100;
  Duration elapsed{ 0 };
  const auto speed = TakeSpeed(aRun, kWhole, aClock, elapsed);
  if (speed && elapsed >= kMinLastSample) {
    Learn(aWorker, step->second, *speed, elapsed, aNow);
  }
}

void
WorkerSpeeds::Learn(const Worker& aWorker, StepSpeeds& aStep, double aSpeed, Duration aElapsed,
                    TimePoint aNow)
{
  // The estimate is one for good, which the time after a start tells nothing of.
  if (aWorker.mColdUntil > aNow) {
    return;
  }
  // Without regard to what is known of the workers, a step that runs mostly on slow ones would make
  // these look normal and the others fast.
  const auto* known = Find(aWorker);
  const double expected = known ? known->mEstimate.Value(aNow) : DecayedEstimate::kNeutral;
  const double typical = aStep.mSpeeds > 0 ? aStep.mSpeeds / aStep.mWorkerSpeeds : 0;
  const bool isTypical = aStep.mSamples >= kTypicalSamples && typical > 0;
  const double advance = aSpeed * static_cast<double>(aElapsed.count());
  // A run that has begun anew on its worker reports less than before.
  if (advance < 0) {
    return;
  }
  aStep.mSpeeds += advance * aSpeed;
  aStep.mWorkerSpeeds += advance * expected;
  ++aStep.mSamples;
  if (!isTypical || advance <= 0) {
    return;
  }
  // A whole run counts as one sample however often it is reported, since its task may be longer or
  // shorter than the others of its step.
  constexpr double kWhole = 100;
  auto& entry = mEntries[aWorker.mEntry.mId];
  if (!known) {
    entry = { {}, aWorker.mEntry.mIncarnation, SpeedClass::Normal };
  }
  entry.mEstimate.Add(std::clamp(aSpeed / typical, 0.0, kMaxSpeed), aNow, advance / kWhole);
  ++mCounts.mSamples;
}

void
WorkerSpeeds::ForgetSteps(const std::function<bool(const StepKey&)>& aIsOver)
{
  std::erase_if(mSteps, [&aIsOver](const auto& aIt) { return aIsOver(aIt.first); });
}

const WorkerSpeeds::Entry*
WorkerSpeeds::Find(const Worker& aWorker) const
{
  const auto it = mEntries.find(aWorker.mEntry.mId);
  const bool isKnown =
    it != mEntries.end() && it->second.mIncarnation == aWorker.mEntry.mIncarnation;
  return isKnown ? &it->second : nullptr;
}

WorkerSpeed
WorkerSpeeds::Speed(const Worker& aWorker, TimePoint aNow) const
{
  WorkerSpeed speed;
  if (const auto* entry = Find(aWorker)) {
    speed = { entry->mClass, entry->mEstimate.Value(aNow) };
  }
  if (aWorker.mColdUntil > aNow) {
    speed = { SpeedClass::Slow, std::min(speed.mSpeed, kColdSpeed) };
  }
  return speed;
}

void
WorkerSpeeds::Refresh(const Fleet& aFleet, TimePoint aNow)
{
  if (mRefreshed && aNow - *mRefreshed < kRefreshPeriod) {
    return;
  }
  mRefreshed = aNow;
  std::erase_if(mEntries, [&](const auto& aIt) {
    const auto& [id, entry] = aIt;
    const auto worker = aFleet.find(id);
    if (worker == aFleet.end()) {
      return aNow - entry.mEstimate.LastSample() > kKeepUnlisted;
    }
    const auto present = worker->second.mEntry.mIncarnation;
    return present.Value() != 0 && present != entry.mIncarnation;
  });
  for (auto& [id, entry] : mEntries) {
    Classify(id, entry, aNow);
  }
  CountClasses(aFleet, aNow);
  const bool mayRecord = !mRecordTaken || aNow - *mRecordTaken >= kRecordPeriod;
  mIsRecordDue = mIsRecordDue || (mayRecord && HasChanged(RecordedValues(aNow)));
}

void
WorkerSpeeds::Classify(const WorkerId& aWorker, Entry& aEntry, TimePoint aNow)
{
  const double value = aEntry.mEstimate.Value(aNow);
  const auto before = std::exchange(aEntry.mClass, NextClass(aEntry.mClass, value));
  if ((before == SpeedClass::Slow) == (aEntry.mClass == SpeedClass::Slow)) {
    return;
  }
  LogEvent("worker_speed_learned")
    .With("worker", aWorker)
    .With("class", SpeedClassName(aEntry.mClass))
    .With("speed", Rounded(value))
    .With("mean", Rounded(aEntry.mEstimate.Mean()))
    .With("spread", Rounded(aEntry.mEstimate.Spread()))
    .With("samples", Rounded(aEntry.mEstimate.Samples()));
}

void
WorkerSpeeds::CountClasses(const Fleet& aFleet, TimePoint aNow)
{
  mCounts.mWorkers = {};
  for (const auto& [id, worker] : aFleet) {
    if (worker.AcceptsWork()) {
      ++mCounts.mWorkers[static_cast<std::size_t>(Speed(worker, aNow).mClass)];
    }
  }
}

std::map<WorkerId, double>
WorkerSpeeds::RecordedValues(TimePoint aNow) const
{
  std::map<WorkerId, double> values;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mClass != SpeedClass::Normal) {
      values.emplace(id, entry.mEstimate.Value(aNow));
    }
  }
  while (values.size() > kMaxRecorded) {
    values.erase(std::prev(values.end()));
  }
  return values;
}

bool
WorkerSpeeds::HasChanged(const std::map<WorkerId, double>& aValues) const
{
  return !std::equal(aValues.begin(), aValues.end(), mRecorded.begin(), mRecorded.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.first == aRight.first &&
                              std::abs(aLeft.second - aRight.second) < kRecordedDifference;
                     });
}

std::string
WorkerSpeeds::TakeRecord(TimePoint aNow, std::int64_t aWallMs)
{
  mIsRecordDue = false;
  mRecordTaken = aNow;
  mRecorded = RecordedValues(aNow);
  auto rows = Json::array();
  for (const auto& [id, value] : mRecorded) {
    const auto& entry = mEntries.at(id);
    const auto& estimate = entry.mEstimate;
    const auto age = std::chrono::duration_cast<Duration>(aNow - estimate.LastSample());
    rows.push_back(
      Json::array({ id.Value(), entry.mIncarnation.Value(), Rounded(estimate.Mean()),
                    Rounded(estimate.Spread()), Rounded(estimate.Samples()), age.count() }));
  }
  return DumpJson({ { "at", aWallMs }, { "workers", std::move(rows) } });
}

bool
WorkerSpeeds::ReadRecord(const std::string& aText, TimePoint aNow, std::int64_t aWallMs)
{
  const auto json = ParseJson(aText);
  std::vector<Row> rows;
  try {
    if (!json) {
      return false;
    }
    const auto at = JsonInRange(json->at("at"), std::int64_t{ 0 }, kMaxTimeMs);
    const Duration age(std::max<std::int64_t>(aWallMs - at, 0));
    for (const auto& it : json->at("workers")) {
      rows.push_back(ReadRow(it, age, aNow));
    }
  } catch (const Json::exception&) {
    return false;
  }
  for (auto& it : rows) {
    const auto next = NextClass(SpeedClass::Normal, it.mEstimate.Value(aNow));
    mEntries.try_emplace(it.mWorker, Entry{ it.mEstimate, it.mIncarnation, next });
  }
  mRecorded = RecordedValues(aNow);
  return true;
}

} // namespace lovagerock::scheduler
