#include "scheduler/JobRecord.h"

#include "scheduler/Limits.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lovagerock::scheduler {

// Lets ReadProgress() set private members of Job.
struct JobRecordAccess
{
  static void SetFinal(Job& aJob, JobState aState, std::int64_t aFinishedMs)
  {
    aJob.mFinal = aState;
    aJob.mFinishedMs = aFinishedMs;
  }
};

namespace {

// A task without a run, as WriteTask() writes it.
constexpr int kNeverRan = 0;
constexpr int kMaxTasksWrittenWhole = 512;

Json
WriteStepSpec(const StepSpec& aStep)
{
  Json json{ { "count", aStep.mCount },
             { "cpu", aStep.mDemand.mCpu.Value() },
             { "memory", aStep.mDemand.mMemory.Value() },
             { "accelerators", aStep.mDemand.mAccelerators.Value() },
             { "estimate", aStep.mEstimate.count() } };
  const auto addFlag = [&json](const char* aName, bool aValue) {
    if (aValue) {
      json[aName] = true;
    }
  };
  if (!aStep.mAfter.empty()) {
    json["after"] = aStep.mAfter;
  }
  addFlag("checkpointing", aStep.mCheckpointing);
  addFlag("gang", aStep.mGang);
  addFlag("rackLocal", aStep.mRackLocal);
  addFlag("speculative", aStep.mSpeculative);
  addFlag("longRunning", aStep.mLongRunning);
  addFlag("usesIdleCpu", aStep.mUsesIdleCpu);
  if (!aStep.mRequiredLabel.empty()) {
    json["label"] = aStep.mRequiredLabel;
  }
  if (!aStep.mPreferredRack.IsEmpty()) {
    json["rack"] = aStep.mPreferredRack.Value();
  }
  if (aStep.mMaxPerWorker > 0) {
    json["maxPerWorker"] = aStep.mMaxPerWorker;
  }
  return json;
}

Duration
ReadDuration(const Json& aJson, const char* aKey)
{
  return Duration(JsonInRange(aJson.at(aKey), std::int64_t{ 0 }, kMaxDuration.count()));
}

std::int64_t
ReadTimeMs(const Json& aJson, const char* aKey)
{
  return JsonInRange(aJson.at(aKey), std::int64_t{ 0 }, kMaxTimeMs);
}

std::int64_t
ReadAmount(const Json& aJson, const char* aKey)
{
  return JsonInRange(aJson.at(aKey), std::int64_t{ 0 }, kMaxAmount);
}

StepSpec
ReadStepSpec(const Json& aJson)
{
  StepSpec step;
  step.mCount = JsonInRange(aJson.at("count"), 1, kMaxTasks);
  step.mDemand.mCpu = MilliCores(ReadAmount(aJson, "cpu"));
  step.mDemand.mMemory = MemoryMiB(ReadAmount(aJson, "memory"));
  step.mDemand.mAccelerators = Accelerators(ReadAmount(aJson, "accelerators"));
  step.mEstimate = ReadDuration(aJson, "estimate");
  step.mAfter = JsonValue(aJson, "after", std::vector<int>());
  step.mCheckpointing = JsonValue(aJson, "checkpointing", false);
  step.mGang = JsonValue(aJson, "gang", false);
  step.mRackLocal = JsonValue(aJson, "rackLocal", false);
  step.mSpeculative = JsonValue(aJson, "speculative", false);
  step.mLongRunning = JsonValue(aJson, "longRunning", false);
  step.mUsesIdleCpu = JsonValue(aJson, "usesIdleCpu", false);
  step.mRequiredLabel = JsonValue(aJson, "label", std::string());
  step.mPreferredRack = RackId(JsonValue(aJson, "rack", std::string()));
  step.mMaxPerWorker = JsonValue(aJson, "maxPerWorker", 0);
  return step;
}

Json
WritePolicy(const QueuePolicy& aPolicy)
{
  return { { "service", aPolicy.mService.Value() },
           { "priority", aPolicy.mPriority },
           { "maxAttempts", aPolicy.mMaxAttempts },
           { "slackFactor", aPolicy.mSlackFactor },
           { "targetLatency", aPolicy.mTargetLatency.count() } };
}

QueuePolicy
ReadPolicy(const Json& aJson)
{
  QueuePolicy policy;
  policy.mService = ServiceId(aJson.at("service").get<std::string>());
  policy.mPriority = JsonAt<int>(aJson, "priority");
  policy.mMaxAttempts = JsonAt<int>(aJson, "maxAttempts");
  policy.mSlackFactor = JsonInRange(aJson.at("slackFactor"), 0.0, kMaxSlackFactor);
  policy.mTargetLatency = ReadDuration(aJson, "targetLatency");
  return policy;
}

// Serializes a task: 1 if it is done, 0 if it never ran, else an array of the highest run number,
// the highest ended run number, the numbers of the failed runs, the worker of the current run
// (empty if there is none), the checkpoint, and the incarnations of the workers on which those runs
// failed. Earlier versions don't write the last.
Json
WriteTask(const Task& aTask)
{
  if (aTask.mPhase == TaskPhase::Done) {
    return 1;
  }
  if (aTask.mRun == 0 && aTask.mFailedRuns.empty()) {
    return kNeverRan;
  }
  auto failedRuns = Json::array();
  auto incarnations = Json::array();
  for (const auto& it : aTask.mFailedRuns) {
    failedRuns.push_back(it.mRun);
    incarnations.push_back(it.mIncarnation.Value());
  }
  auto json = Json::array({ aTask.mRun, aTask.mEndedRun, std::move(failedRuns),
                            aTask.mWorker.Value(), aTask.mCheckpoint });
  if (!incarnations.empty()) {
    json.push_back(std::move(incarnations));
  }
  return json;
}

// Reads the failed runs of a task that is an array.
std::vector<FailedRun>
ReadFailedRuns(const Json& aTask)
{
  const auto runs = ConvertJson<std::vector<int>>(aTask.at(2));
  const auto incarnations =
    aTask.size() > 5 ? ConvertJson<std::vector<Json>>(aTask.at(5)) : std::vector<Json>();
  std::vector<FailedRun> failed;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    WorkerIncarnation incarnation;
    if (i < incarnations.size()) {
      incarnation = WorkerIncarnation(JsonInRange(incarnations[i], std::int64_t{ 0 }, kMaxTimeMs));
    }
    failed.push_back({ runs[i], incarnation });
  }
  return failed;
}

void
ReadTask(const Json& aJson, Step& aStep, Task& aTask)
{
  if (aJson.is_number()) {
    if (ConvertJson<int>(aJson) == 1) {
      aTask.mPhase = TaskPhase::Done;
      ++aStep.mDone;
    }
    return;
  }
  aTask.mRun = JsonInRange(aJson.at(0), 0, kMaxRun);
  aTask.mEndedRun = JsonInRange(aJson.at(1), 0, kMaxRun);
  aTask.mFailedRuns = ReadFailedRuns(aJson);
  aTask.mWorker = WorkerId(aJson.at(3).get<std::string>());
  aTask.mPhase = aTask.mWorker.IsEmpty() ? TaskPhase::Waiting : TaskPhase::Unreported;
  aTask.mCheckpoint = aJson.at(4).get<std::string>();
}

void
ReadOccurrence(const Json& aJson, Job& aJob)
{
  const int last = aJob.Accepted().mSpec.Occurrences() - 1;
  auto& occurrence = aJob.FindOrCreateOccurrence(JsonInRange(aJson.at("number"), 0, last));
  const auto& steps = aJson.at("steps");
  for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
    auto& step = occurrence.mSteps[i];
    const auto& tasks = steps.at(i);
    // Later tasks have never run.
    const int count = std::min(static_cast<int>(tasks.size()), step.mCount);
    for (int j = 0; j < count; ++j) {
      if (const auto& task = tasks.at(static_cast<std::size_t>(j)); task != kNeverRan) {
        ReadTask(task, step, step.Touch(j));
      }
    }
  }
}

} // namespace

std::string
WriteAcceptedJob(const AcceptedJob& aJob)
{
  Json steps = Json::array();
  for (const auto& it : aJob.mSpec.mSteps) {
    steps.push_back(WriteStepSpec(it));
  }
  return DumpJson({ { "queue", aJob.mQueue },
                    { "account", aJob.mAccount.Value() },
                    { "acceptedMs", aJob.mAcceptedMs },
                    { "policy", WritePolicy(aJob.mPolicy) },
                    { "payload", aJob.mSpec.mPayload },
                    { "steps", std::move(steps) },
                    { "repetitions", aJob.mSpec.mRepetitions },
                    { "firstRunMs", aJob.mSpec.mFirstRunMs },
                    { "interval", aJob.mSpec.mInterval.count() },
                    { "id", aJob.mId.Value() } });
}

std::optional<AcceptedJob>
ReadAcceptedJob(const std::string& aText)
{
  const auto json = ParseJson(aText);
  if (!json) {
    return std::nullopt;
  }
  try {
    AcceptedJob job;
    job.mId = JobId(json->at("id").get<std::string>());
    job.mQueue = json->at("queue").get<std::string>();
    job.mAccount = AccountId(json->at("account").get<std::string>());
    job.mAcceptedMs = ReadTimeMs(*json, "acceptedMs");
    job.mPolicy = ReadPolicy(json->at("policy"));
    job.mSpec.mPayload = json->at("payload").get<std::string>();
    for (const auto& it : json->at("steps")) {
      job.mSpec.mSteps.push_back(ReadStepSpec(it));
    }
    job.mSpec.mRepetitions = JsonInRange(json->at("repetitions"), 0, kMaxOccurrences);
    job.mSpec.mFirstRunMs = ReadTimeMs(*json, "firstRunMs");
    job.mSpec.mInterval = ReadDuration(*json, "interval");
    return job;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
WriteProgress(const Job& aJob)
{
  Json json{ { "state", JobStateName(aJob.State()) },
             { "next", aJob.mNextOccurrence },
             { "done", aJob.mDoneOccurrences } };
  if (aJob.IsOver()) {
    json["finishedMs"] = aJob.FinishedMs();
    return DumpJson(json);
  }
  auto& occurrences = json["open"] = Json::array();
  for (const auto& [number, occurrence] : aJob.OpenOccurrences()) {
    Json steps = Json::array();
    for (const auto& step : occurrence.mSteps) {
      Json tasks = Json::array();
      for (const auto& task : step.mTasks) {
        tasks.push_back(WriteTask(task));
      }
      // Earlier versions expect all tasks of a step. Steps of more tasks were unusual.
      if (step.mCount <= kMaxTasksWrittenWhole) {
        tasks.get_ref<Json::array_t&>().resize(static_cast<std::size_t>(step.mCount), kNeverRan);
      }
      steps.push_back(std::move(tasks));
    }
    occurrences.push_back({ { "number", number }, { "steps", std::move(steps) } });
  }
  return DumpJson(json);
}

bool
ReadProgress(const std::string& aText, Job& aJob)
{
  const auto json = ParseJson(aText);
  if (!json) {
    return false;
  }
  try {
    const auto state = ParseJobState(json->at("state").get<std::string>());
    if (!state) {
      return false;
    }
    aJob.mNextOccurrence = JsonInRange(json->at("next"), 0, aJob.Accepted().mSpec.Occurrences());
    aJob.mDoneOccurrences = JsonInRange(json->at("done"), 0, aJob.Accepted().mSpec.Occurrences());
    aJob.mBegun = *state != JobState::Queued;
    if (json->contains("open")) {
      for (const auto& it : json->at("open")) {
        ReadOccurrence(it, aJob);
      }
    } else {
      JobRecordAccess::SetFinal(aJob, *state, ReadTimeMs(*json, "finishedMs"));
    }
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

std::optional<JobState>
ParseJobState(std::string_view aName)
{
  constexpr std::array kStates{ JobState::Queued, JobState::InProgress, JobState::Completed,
                                JobState::Failed, JobState::Cancelled };
  for (const auto it : kStates) {
    if (aName == JobStateName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

std::optional<JobState>
ReadState(const std::string& aText)
{
  const auto json = ParseJson(aText);
  return json ? ParseJobState(JsonValue(*json, "state", std::string())) : std::nullopt;
}

} // namespace lovagerock::scheduler
