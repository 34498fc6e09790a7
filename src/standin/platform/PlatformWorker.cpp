#include "standin/platform/PlatformWorker.h"

#include "base/WallClock.h"

#include <algorithm>
#include <chrono>

namespace lovagerock::standin {

namespace {

constexpr Duration kTick{ 10 };
// The longest lease that a worker grants.
constexpr std::int64_t kLongestLeaseMs = 10000;

// The time that a task takes.
Duration
TaskTime(const std::string& aTask, const std::string& aPayload)
{
  auto time = ParseJson(aPayload).value_or(Json());
  if (time.is_array() && !time.empty()) {
    time = Json(time.at(std::min(StepOf(aTask), time.size() - 1)));
  }
  return Duration(time.is_number_integer() ? time.get<std::int64_t>() : 0);
}

} // namespace

PlatformWorker::PlatformWorker(EventLoop& aLoop, WorkerSpec aSpec, PlatformState& aState,
                               DelayCall aDelayCall)
  : mSpec(std::move(aSpec))
  , mState(aState)
  , mLedger(aState.mLedger)
  , mLoop(aLoop)
  , mStarted(std::chrono::steady_clock::now())
  , mBirthMs(mLedger.OnWorkerBorn(mSpec.mId, WallClockMs()))
  , mDelayCall(std::move(aDelayCall))
  , mServer(aLoop)
{
  Handle("/lovagerock/run-start", WorkerCall::Kind::Start);
  Handle("/lovagerock/run-stop", WorkerCall::Kind::Stop);
  Handle("/lovagerock/hold", WorkerCall::Kind::Hold);
  mTick = aLoop.Every(kTick, [this] { Tick(); });
}

PlatformWorker::~PlatformWorker()
{
  mLedger.OnWorkerGone(mSpec.mId);
  mState.mGangs.OnWorkerGone(mSpec.mId);
}

std::string
PlatformWorker::Entry() const
{
  Json entry{ { "service", "batch" },
              { "address", mServer.Address().ToString() },
              { "zone", "z" },
              { "state", mLeavesAtMs ? "draining" : "ready" },
              { "capacity",
                { { "cpu", mSpec.mCapacity.mCpu.Value() },
                  { "mem_mb", mSpec.mCapacity.mMemory.Value() },
                  { "gpu", mSpec.mCapacity.mAccelerators.Value() } } },
              { "labels", { mSpec.mId, mSpec.mRack } },
              { "born", mBirthMs } };
  if (mLeavesAtMs) {
    entry["remaining_ms"] = std::max<std::int64_t>(0, *mLeavesAtMs - ClockMs());
  }
  return DumpJson(entry);
}

Capacity
PlatformWorker::InUse() const
{
  Capacity sum;
  for (const auto& [run, timer] : mRunning) {
    sum += mState.mJobs.StepOfTask(run.first).mDemand;
  }
  return sum;
}

void
PlatformWorker::Drain(Duration aRemaining)
{
  mLeavesAtMs = ClockMs() + aRemaining.count();
}

void
PlatformWorker::Handle(const char* aPattern, WorkerCall::Kind aKind)
{
  mServer.Handle(
    http::Method::Post, aPattern,
    [this, aKind](const http::Request& aRequest, http::Responder aTo) {
      if (mFaults.mSilent) {
        mUnanswered.push_back(aTo);
        return;
      }
      if (aRequest.mHeaders.Get("Expected-Instance") != mSpec.mId) {
        aTo.Send({ 421, {}, "" });
        return;
      }
      const WorkerCall call{ aKind, ParseJson(aRequest.mBody).value_or(Json::object()) };
      if (TakesLate(aKind)) {
        mUnanswered.push_back(aTo);
        mDelayCall(call);
        return;
      }
      Answer(call, aTo);
    });
}

bool
PlatformWorker::TakesLate(WorkerCall::Kind aKind)
{
  auto& count = aKind == WorkerCall::Kind::Start && mFaults.mLateStarts > 0 ? mFaults.mLateStarts
                                                                            : mFaults.mLateCalls;
  if (count <= 0) {
    return false;
  }
  --count;
  return true;
}

const char*
PlatformWorker::CarryOut(const WorkerCall& aCall)
{
  CheckLease();
  if (!Obeys(aCall.mBody)) {
    return "fence";
  }
  switch (aCall.mKind) {
    case WorkerCall::Kind::Start:
      return TryStart(aCall.mBody);
    case WorkerCall::Kind::Stop:
      Stop(aCall.mBody);
      return nullptr;
    case WorkerCall::Kind::Hold:
      Hold(aCall.mBody);
      return nullptr;
  }
  return nullptr;
}

void
PlatformWorker::Answer(const WorkerCall& aCall, const http::Responder& aTo)
{
  if (const auto* reason = CarryOut(aCall)) {
    Refuse(aTo, reason);
    return;
  }
  if (aCall.mKind == WorkerCall::Kind::Start && mFaults.mLostStarts > 0) {
    --mFaults.mLostStarts;
    mUnanswered.push_back(aTo);
    return;
  }
  if (aCall.mKind != WorkerCall::Kind::Hold) {
    aTo.Send(http::JsonResponse(200, DumpJson({ { "clock_ms", ClockMs() } })));
    return;
  }
  const auto wait = JsonValue(aCall.mBody, "wait_ms", std::int64_t{ 0 });
  if (mEnded.empty() && wait > 0) {
    mHolds.push_back({ std::chrono::steady_clock::now() + Duration(wait), aTo });
  } else {
    AnswerHold(aTo);
  }
}

std::int64_t
PlatformWorker::ClockMs() const
{
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - mStarted).count();
}

void
PlatformWorker::Refuse(const http::Responder& aTo, const char* aReason) const
{
  aTo.Send(http::JsonResponse(409, DumpJson({ { "clock_ms", ClockMs() }, { "reason", aReason } })));
}

bool
PlatformWorker::Obeys(const Json& aBody)
{
  const auto token = JsonValue(aBody, "fencing_token", std::int64_t{ 0 });
  if (token < mHighestToken && !mFaults.mIgnoresTokens) {
    return false;
  }
  mHighestToken = std::max(mHighestToken, token);
  return true;
}

void
PlatformWorker::Prolong(const Json& aBody)
{
  const auto deadline = JsonValue(aBody, "deadline_ms", std::int64_t{ 0 });
  mLeaseEndMs = std::max(mLeaseEndMs, std::min(deadline, ClockMs() + kLongestLeaseMs));
}

const char*
PlatformWorker::TryStart(const Json& aBody)
{
  if (JsonValue(aBody, "deadline_ms", std::int64_t{ 0 }) <= ClockMs()) {
    return "late";
  }
  Prolong(aBody);
  const RunKey run{ JsonValue(aBody, "task", std::string()), JsonValue(aBody, "run", 0) };
  if (mRunning.contains(run)) {
    return nullptr;
  }
  if (const auto it = mHighestEnded.find(run.first);
      it != mHighestEnded.end() && run.second <= it->second) {
    return "old";
  }
  const auto& step = mState.mJobs.StepOfTask(run.first);
  if (!step.mDemand.FitsInto(Total() - InUse())) {
    return "room";
  }
  const auto time = TaskTime(run.first, JsonValue(aBody, "spec", std::string()));
  mLedger.OnStart(mSpec.mId, run.first, run.second);
  mState.mWaits.OnStart(JobOf(run.first), std::chrono::steady_clock::now());
  if (step.mIsGang) {
    mRunning[run] = Timer();
    mState.mGangs.Join(step, time,
                       { run.first, run.second, mSpec.mId, mSpec.mRack,
                         [this, run](const char* aHow) { End(run, aHow); } });
  } else {
    mRunning[run] = mLoop.After(time, [this, run] { End(run, run_end::kDone); });
  }
  return nullptr;
}

void
PlatformWorker::Stop(const Json& aBody)
{
  const RunKey run{ JsonValue(aBody, "task", std::string()), JsonValue(aBody, "run", 0) };
  auto& highest = mHighestEnded[run.first];
  highest = std::max(highest, run.second);
  if (mRunning.contains(run)) {
    End(run, run_end::kStopped);
  }
}

void
PlatformWorker::Hold(const Json& aBody)
{
  Prolong(aBody);
  const auto seen = JsonValue(aBody, "last_seen", std::int64_t{ 0 });
  std::erase_if(mEnded, [this, seen](const auto& aIt) {
    const bool isSeen = aIt.mNumber <= seen;
    if (isSeen) {
      mLedger.OnAcknowledged(mSpec.mId, aIt.mRun.first, aIt.mRun.second);
    }
    return isSeen;
  });
}

void
PlatformWorker::AnswerHold(const http::Responder& aTo) const
{
  Json running = Json::array();
  for (const auto& [run, timer] : mRunning) {
    running.push_back(Json::array({ run.first, run.second, "", 0, 0 }));
  }
  Json finished = Json::array();
  for (const auto& it : mEnded) {
    if (it.mHow == run_end::kDone) {
      mLedger.OnDoneListed(it.mRun.first);
    }
    finished.push_back(Json::array({ it.mNumber, it.mRun.first, it.mRun.second, it.mHow, "" }));
  }
  aTo.Send(http::JsonResponse(200, DumpJson({ { "clock_ms", ClockMs() },
                                              { "born", mBirthMs },
                                              { "running", std::move(running) },
                                              { "finished", std::move(finished) } })));
}

void
PlatformWorker::End(const RunKey& aRun, const char* aHow)
{
  // The key may belong to the timer's call, which is destroyed here.
  const auto run = aRun;
  const auto timer = mRunning.extract(run);
  auto& highest = mHighestEnded[run.first];
  highest = std::max(highest, run.second);
  mEnded.push_back({ ++mEnds, run, aHow });
  mLedger.OnEnd(mSpec.mId, run.first, run.second, std::string_view(aHow) == run_end::kDone);
  mState.mGangs.OnEnd(run.first, run.second, mSpec.mId);
  if (!mFaults.mSilent) {
    for (const auto& it : std::exchange(mHolds, {})) {
      AnswerHold(it.mResponder);
    }
  }
}

void
PlatformWorker::CheckLease()
{
  if (mLeaseEndMs >= ClockMs()) {
    return;
  }
  while (!mRunning.empty()) {
    End(mRunning.begin()->first, run_end::kLeaseExpired);
  }
  mLedger.OnLeaseExpired(mSpec.mId);
}

void
PlatformWorker::Tick()
{
  CheckLease();
  if (mFaults.mSilent) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(mHolds, [this, now](const auto& aIt) {
    const bool isOver = aIt.mUntil <= now;
    if (isOver) {
      AnswerHold(aIt.mResponder);
    }
    return isOver;
  });
}

} // namespace lovagerock::standin
