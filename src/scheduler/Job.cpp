#include "scheduler/Job.h"

#include "scheduler/Limits.h"

#include <algorithm>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// The assumed run time of a task without an estimate.
constexpr Duration kDefaultRunTime{ 3000 };

// What a job, one of its steps, an open step and one of its tasks that had a run take in memory,
// with what the scheduler's and the leader's tables keep of them; see "Accepted jobs" in
// docs/CAPACITY.md.
constexpr std::size_t kJobBytes = 1024;
constexpr std::size_t kStepBytes = 256;
constexpr std::size_t kOpenStepBytes = 256;
constexpr std::size_t kTaskBytes = 256;

} // namespace

const char*
JobStateName(JobState aState)
{
  switch (aState) {
    case JobState::Queued:
      return "queued";
    case JobState::InProgress:
      return "in_progress";
    case JobState::Completed:
      return "completed";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
  }
  return "queued";
}

bool
FailedRun::MayBeSameAs(const FailedRun& aOther) const
{
  const bool isAnyUnknown = mIncarnation.Value() == 0 || aOther.mIncarnation.Value() == 0;
  return mRun == aOther.mRun && (isAnyUnknown || mIncarnation == aOther.mIncarnation);
}

const Task&
Step::At(int aIndex) const
{
  static const Task kInitial;
  const auto index = static_cast<std::size_t>(aIndex);
  return index < mTasks.size() ? mTasks[index] : kInitial;
}

Task&
Step::Touch(int aIndex)
{
  const auto index = static_cast<std::size_t>(aIndex);
  if (index >= mTasks.size()) {
    mTasks.resize(index + 1);
  }
  return mTasks[index];
}

bool
Occurrence::IsDone() const
{
  return std::all_of(mSteps.begin(), mSteps.end(),
                     [](const auto& aStep) { return aStep.IsDone(); });
}

Job::Job(AcceptedJob aAccepted, TimePoint aAcceptedAt)
  : mAccepted(std::move(aAccepted))
  , mPolicy(mAccepted.mPolicy)
  , mAcceptedAt(aAcceptedAt)
{
}

JobState
Job::State() const
{
  if (IsOver()) {
    return mFinal;
  }
  return mBegun ? JobState::InProgress : JobState::Queued;
}

void
Job::Finish(JobState aFinal, std::int64_t aNowMs)
{
  if (!IsOver()) {
    mFinal = aFinal;
    mFinishedMs = aNowMs;
    mAccepted.mSpec.mPayload = std::string();
  }
}

Occurrence&
Job::FindOrCreateOccurrence(int aOccurrence)
{
  auto [it, isNew] = mOpenOccurrences.try_emplace(aOccurrence);
  if (isNew) {
    for (const auto& spec : mAccepted.mSpec.mSteps) {
      it->second.mSteps.emplace_back().mCount = spec.mCount;
    }
    it->second.mReadySince.resize(mAccepted.mSpec.mSteps.size());
    mNextOccurrence = std::max(mNextOccurrence, aOccurrence + 1);
  }
  return it->second;
}

std::int64_t
Job::NextDueMs() const
{
  if (mNextOccurrence >= mAccepted.mSpec.Occurrences()) {
    return 0;
  }
  const auto& spec = mAccepted.mSpec;
  return spec.mRepetitions > 0 ? spec.mFirstRunMs + mNextOccurrence * spec.mInterval.count()
                               : mAccepted.mAcceptedMs;
}

std::int64_t
Job::TasksPerOccurrence() const
{
  std::int64_t tasks = 0;
  for (const auto& it : mAccepted.mSpec.mSteps) {
    tasks += it.mCount;
  }
  return tasks;
}

void
Job::OpenDueOccurrences(std::int64_t aNowMs, TimePoint aNow)
{
  const auto tasks = std::max<std::int64_t>(TasksPerOccurrence(), 1);
  const auto mayOpen = std::clamp<std::int64_t>(kMaxOpenTasks / tasks, 1, kMaxOpenOccurrences);
  while (mNextOccurrence < mAccepted.mSpec.Occurrences() &&
         (mAccepted.mSpec.mRepetitions == 0 || NextDueMs() <= aNowMs) &&
         static_cast<std::int64_t>(mOpenOccurrences.size()) < mayOpen) {
    FindOrCreateOccurrence(mNextOccurrence);
  }
  for (auto& [number, occurrence] : mOpenOccurrences) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      if (occurrence.mReadySince[i] == TimePoint() &&
          IsStepReady(occurrence, static_cast<int>(i))) {
        occurrence.mReadySince[i] = aNow;
      }
    }
  }
}

const Task*
Job::Find(const TaskRef& aTask) const
{
  const auto it = mOpenOccurrences.find(aTask.mOccurrence);
  if (it == mOpenOccurrences.end() || aTask.mStep < 0 ||
      aTask.mStep >= static_cast<int>(it->second.mSteps.size())) {
    return nullptr;
  }
  const auto& step = it->second.mSteps[aTask.mStep];
  return aTask.mIndex >= 0 && aTask.mIndex < step.mCount ? &step.At(aTask.mIndex) : nullptr;
}

Task*
Job::Find(const TaskRef& aTask)
{
  if (!std::as_const(*this).Find(aTask)) {
    return nullptr;
  }
  return &mOpenOccurrences.at(aTask.mOccurrence).mSteps[aTask.mStep].Touch(aTask.mIndex);
}

Task*
Job::FindOrOpen(const TaskRef& aTask)
{
  while (mNextOccurrence <= aTask.mOccurrence && mNextOccurrence < mAccepted.mSpec.Occurrences()) {
    FindOrCreateOccurrence(mNextOccurrence);
  }
  return Find(aTask);
}

bool
Job::IsStepReady(const Occurrence& aOccurrence, int aStep) const
{
  const auto& after = Spec(aStep).mAfter;
  return std::all_of(after.begin(), after.end(), [&aOccurrence](int aEarlier) {
    return aEarlier >= 0 && aEarlier < static_cast<int>(aOccurrence.mSteps.size()) &&
           aOccurrence.mSteps[aEarlier].IsDone();
  });
}

void
Job::MarkDone(const TaskRef& aTask, std::int64_t aNowMs)
{
  auto* task = Find(aTask);
  if (!task || task->mPhase == TaskPhase::Done) {
    return;
  }
  auto& step = mOpenOccurrences[aTask.mOccurrence].mSteps[aTask.mStep];
  const auto mark = [&step](Task& aDone) {
    if (aDone.mPhase != TaskPhase::Done) {
      aDone.mPhase = TaskPhase::Done;
      aDone.mCheckpoint.clear();
      aDone.mFailedWorkers.clear();
      ++step.mDone;
    }
  };
  if (Spec(aTask.mStep).mGang) {
    step.Touch(step.mCount - 1);
    std::for_each(step.mTasks.begin(), step.mTasks.end(), mark);
  } else {
    mark(*task);
  }
  if (mOpenOccurrences[aTask.mOccurrence].IsDone()) {
    mOpenOccurrences.erase(aTask.mOccurrence);
    ++mDoneOccurrences;
    if (mDoneOccurrences == mAccepted.mSpec.Occurrences()) {
      Finish(JobState::Completed, aNowMs);
    }
  }
}

std::vector<Duration>
Job::StepEndTimes(const Occurrence* aOccurrence) const
{
  std::vector<Duration> ends;
  const auto& steps = mAccepted.mSpec.mSteps;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    Duration begin{ 0 };
    for (const int earlier : steps[i].mAfter) {
      if (earlier >= 0 && earlier < static_cast<int>(i)) {
        begin = std::max(begin, ends[earlier]);
      }
    }
    const bool isDone = aOccurrence && aOccurrence->mSteps[i].IsDone();
    const auto time = steps[i].mEstimate.count() > 0 ? steps[i].mEstimate : kDefaultRunTime;
    ends.push_back(std::min(begin + (isDone ? Duration(0) : time), kMaxDuration));
  }
  return ends;
}

Duration
Job::ExpectedRunTime() const
{
  const auto ends = StepEndTimes(nullptr);
  return ends.empty() ? Duration(0) : *std::max_element(ends.begin(), ends.end());
}

Duration
Job::RemainingRunTime() const
{
  Duration longest{ 0 };
  for (const auto& [number, occurrence] : mOpenOccurrences) {
    const auto ends = StepEndTimes(&occurrence);
    if (!ends.empty()) {
      longest = std::max(longest, *std::max_element(ends.begin(), ends.end()));
    }
  }
  return longest;
}

TimePoint
Job::Objective() const
{
  const auto allowedRunTime = std::min(
    std::chrono::duration_cast<Duration>(ExpectedRunTime() * mPolicy.mSlackFactor), kMaxDuration);
  return mAcceptedAt + mPolicy.mTargetLatency + allowedRunTime;
}

Bytes
Job::MemoryUse() const
{
  const auto& spec = mAccepted.mSpec;
  std::size_t bytes = kJobBytes + spec.mPayload.size();
  for (const auto& it : spec.mSteps) {
    bytes += kStepBytes + it.mAfter.size() * sizeof(int) + it.mRequiredLabel.size() +
             it.mPreferredRack.Value().size();
  }
  for (const auto& [number, occurrence] : mOpenOccurrences) {
    for (const auto& it : occurrence.mSteps) {
      bytes += kOpenStepBytes + it.mTasks.size() * kTaskBytes;
    }
  }
  return Bytes(static_cast<std::int64_t>(bytes));
}

Accelerators
Job::LargestStepAccelerators() const
{
  Accelerators largest;
  for (const auto& it : mAccepted.mSpec.mSteps) {
    largest = std::max(largest, Accelerators(it.mDemand.mAccelerators.Value() * it.mCount));
  }
  return largest;
}

} // namespace lovagerock::scheduler
