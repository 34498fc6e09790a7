#include "standin/platform/PlatformControl.h"

#include "base/LogEvent.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagerock::standin {

namespace {

// How often workers look whether they have to register again.
constexpr Duration kRegistrationPeriod{ 50 };
// How often jobs are looked at of which nothing runs.
constexpr Duration kIdleJobPeriod{ 100 };
constexpr const char* kConfigurationKey = "op/config";
constexpr const char* kWorkerPrefix = "servers/";

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
WorkerOf(const Json& aBody)
{
  return JsonValue(aBody, "worker", std::string());
}

} // namespace

PlatformControl::PlatformControl(EventLoop& aLoop, const FleetShape& aShape)
  : mLoop(aLoop)
  , mState(aLoop)
  , mStore(aLoop)
  , mServer(aLoop)
{
  for (int i = 0; i < aShape.mWorkers; ++i) {
    const auto spec = aShape.Worker(i);
    auto& place = mPlaces[spec.mId];
    place.mSpec = spec;
    place.mWorker = NewWorker(spec);
  }
  mServer.Handle(http::Method::Post, "/configuration",
                 [this](const http::Request& aRequest, http::Responder aTo) {
                   mStore.Put(kConfigurationKey, aRequest.mBody);
                   aTo.Send(http::JsonResponse(200, "{}"));
                 });
  HandleCommand("/faults", &PlatformControl::OnFaults);
  HandleCommand("/drain", &PlatformControl::OnDrain);
  HandleCommand("/restart", &PlatformControl::OnRestart);
  HandleCommand("/completion-shown", &PlatformControl::OnCompletionShown);
  HandleCommand("/job-submitted", &PlatformControl::OnJobSubmitted);
  HandleCommand("/job-accepted", &PlatformControl::OnJobAccepted);
  HandleCommand("/disruption", &PlatformControl::OnDisruption);
  HandleQuery("/ledger", &PlatformControl::Ledger);
  HandleQuery("/usage", &PlatformControl::Usage);
  HandleQuery("/waits", &PlatformControl::Waits);
}

void
PlatformControl::HandleCommand(const char* aPattern, Command aCommand)
{
  mServer.Handle(http::Method::Post, aPattern,
                 [this, aCommand](const http::Request& aRequest, http::Responder aTo) {
                   (this->*aCommand)(ParseJson(aRequest.mBody).value_or(Json::object()));
                   aTo.Send(http::JsonResponse(200, "{}"));
                 });
}

void
PlatformControl::HandleQuery(const char* aPattern, Query aQuery)
{
  mServer.Handle(http::Method::Get, aPattern,
                 [this, aQuery](const http::Request&, http::Responder aTo) {
                   aTo.Send(http::JsonResponse(200, DumpJson((this->*aQuery)())));
                 });
}

std::unique_ptr<PlatformWorker>
PlatformControl::NewWorker(const WorkerSpec& aSpec)
{
  return std::make_unique<PlatformWorker>(
    mLoop, aSpec, mState,
    [this, id = aSpec.mId](const WorkerCall& aCall) { DelayCall(id, aCall); });
}

std::error_code
PlatformControl::Listen(const SocketAddress& aStore, int aStoreAddresses,
                        const SocketAddress& aControl)
{
  if (const auto ec = mStore.Listen(aStore, aStoreAddresses)) {
    return ec;
  }
  if (const auto ec = mServer.Listen(aControl)) {
    return ec;
  }
  auto port = aControl.Port();
  for (auto& [id, place] : mPlaces) {
    place.mAddress = SocketAddress(aControl.Ip(), ++port);
    if (const auto ec = place.mWorker->Listen(place.mAddress)) {
      return ec;
    }
  }
  RegisterAll();
  mTick = mLoop.Every(kRegistrationPeriod, [this] {
    if (!mIsRegistered && mStore.IsServing()) {
      RegisterAll();
    }
  });
  mIdleJobTick =
    mLoop.Every(kIdleJobPeriod, [this] { mIdleJobs.Look(mState.mLedger, Room(), Now()); });
  return {};
}

void
PlatformControl::RegisterAll()
{
  mIsRegistered = true;
  for (auto& [id, place] : mPlaces) {
    const auto delay = id == mLateWorker ? mLateBy : Duration(0);
    place.mRegistration = mLoop.After(delay, [this, worker = id] { Register(worker); });
  }
}

void
PlatformControl::Register(const std::string& aId)
{
  const auto& worker = mPlaces.at(aId).mWorker;
  if (worker && !mUnregistered.contains(aId)) {
    mStore.Put(kWorkerPrefix + aId, worker->Entry());
  }
}

void
PlatformControl::OnFaults(const Json& aFaults)
{
  auto& faults = mStore.Faults();
  faults.mRefusing = JsonValue(aFaults, "refusing", faults.mRefusing);
  faults.mRefusingWrites = JsonValue(aFaults, "refusing_writes", faults.mRefusingWrites);
  faults.mRefusingAddresses = JsonValue(aFaults, "refusing_addresses", faults.mRefusingAddresses);
  faults.mSilent = JsonValue(aFaults, "silent", faults.mSilent);
  faults.mLostAnswers = JsonValue(aFaults, "lost_answers", faults.mLostAnswers);
  if (aFaults.contains("lease_ms")) {
    const auto time = JsonValue(aFaults, "lease_ms", std::int64_t{ 0 });
    faults.mLeaseTime = time > 0 ? std::optional(Duration(time)) : std::nullopt;
  }
  faults.mDelay = Duration(JsonValue(aFaults, "store_delay_ms", faults.mDelay.count()));
  if (JsonValue(aFaults, "lose_waiting_writes", false)) {
    LogEvent("waiting_writes_lost").With("writes", mStore.LoseWaitingWrites());
  }
  faults.mMinLease = Duration(JsonValue(aFaults, "min_lease_ms", faults.mMinLease.count()));
  mLateWorker = JsonValue(aFaults, "late_worker", mLateWorker);
  mLateBy = Duration(JsonValue(aFaults, "late_ms", mLateBy.count()));
  mLateStartBy = Duration(JsonValue(aFaults, "late_start_ms", mLateStartBy.count()));
  mNoticeTime = Duration(JsonValue(aFaults, "notice_ms", mNoticeTime.count()));
  if (JsonValue(aFaults, "lapse", false)) {
    mStore.Table().EndAllLeases();
    for (const auto& [id, place] : mPlaces) {
      mStore.Remove(kWorkerPrefix + id);
    }
    mIsRegistered = false;
  }
  if (JsonValue(aFaults, "discard_history", false)) {
    mStore.DiscardHistory();
  }
  SetWorkerFaults(aFaults);
  SetUnregistered(JsonValue(aFaults, "unregistered_workers", mUnregistered));
}

void
PlatformControl::SetUnregistered(std::set<std::string> aWorkers)
{
  const auto before = std::exchange(mUnregistered, std::move(aWorkers));
  for (const auto& [id, place] : mPlaces) {
    const bool wasUnregistered = before.contains(id);
    const bool isUnregistered = mUnregistered.contains(id);
    if (isUnregistered && !wasUnregistered) {
      mStore.Remove(kWorkerPrefix + id);
    } else if (wasUnregistered && !isUnregistered) {
      Register(id);
    }
  }
}

void
PlatformControl::SetWorkerFaults(const Json& aFaults)
{
  const auto silent = JsonValue(aFaults, "silent_workers", std::set<std::string>());
  if (aFaults.contains("silent_workers")) {
    NoteDisruption();
  }
  for (const auto& [id, place] : mPlaces) {
    if (!place.mWorker) {
      continue;
    }
    auto& faults = place.mWorker->Faults();
    if (aFaults.contains("silent_workers")) {
      faults.mSilent = silent.contains(id);
    }
    faults.mIgnoresTokens = JsonValue(aFaults, "ignore_tokens", faults.mIgnoresTokens);
    faults.mLostStarts = JsonValue(aFaults, "lost_starts", faults.mLostStarts);
    faults.mLateStarts = JsonValue(aFaults, "late_starts", faults.mLateStarts);
    faults.mLateCalls = JsonValue(aFaults, "late_calls", faults.mLateCalls);
  }
}

void
PlatformControl::OnDrain(const Json& aBody)
{
  const auto id = WorkerOf(aBody);
  auto& place = mPlaces.at(id);
  if (!place.mWorker) {
    return;
  }
  const Duration remaining(JsonValue(aBody, "remaining_ms", std::int64_t{ 0 }));
  place.mWorker->Drain(remaining);
  Register(id);
  place.mLeaving = mLoop.After(remaining, [this, id] { Leave(id); });
}

void
PlatformControl::Leave(const std::string& aId)
{
  NoteDisruption();
  mPlaces.at(aId).mWorker.reset();
  mStore.Remove(kWorkerPrefix + aId);
}

void
PlatformControl::OnRestart(const Json& aBody)
{
  const auto id = WorkerOf(aBody);
  auto& place = mPlaces.at(id);
  NoteDisruption();
  // The former life must have closed its port.
  place.mWorker.reset();
  place.mLeaving.Cancel();
  place.mWorker = NewWorker(place.mSpec);
  place.mRestartedAt = std::chrono::steady_clock::now();
  LogEvent("worker_restarted").With("worker", id);
  if (const auto ec = place.mWorker->Listen(place.mAddress)) {
    LogEvent("listen_failed", LogLevel::Error).With("worker", id).With("error", ec.message());
  }
  const Duration delay(JsonValue(aBody, "register_after_ms", std::int64_t{ 0 }));
  place.mRegistration = mLoop.After(delay, [this, id] {
    NoteDisruption();
    Register(id);
  });
}

void
PlatformControl::OnCompletionShown(const Json& aBody)
{
  mState.mLedger.OnCompletionShown(JsonValue(aBody, "job", std::string()));
}

void
PlatformControl::OnJobSubmitted(const Json& aBody)
{
  mState.mJobs.Add(JsonValue(aBody, "job", std::string()),
                   ReadSteps(JsonValue(aBody, "steps", Json::array())));
}

void
PlatformControl::OnJobAccepted(const Json& aBody)
{
  OnJobSubmitted(aBody);
  const auto job = JsonValue(aBody, "job", std::string());
  mIdleJobs.OnAccepted(job, ReadSteps(JsonValue(aBody, "steps", Json::array())), Now());
  mState.mWaits.OnAccepted(job, Now());
}

void
PlatformControl::OnDisruption(const Json& aBody)
{
  mIdleJobs.SetDisrupted(JsonValue(aBody, "lasts", false), Now());
}

void
PlatformControl::NoteDisruption()
{
  mIdleJobs.OnDisruption(Now());
}

FreeRoom
PlatformControl::Room() const
{
  FreeRoom room;
  for (const auto& [id, place] : mPlaces) {
    if (place.mWorker && place.mWorker->IsUsable() && !place.mRegistration.IsPending() &&
        !mUnregistered.contains(id)) {
      room.Add(place.mWorker->Total() - place.mWorker->InUse());
    }
  }
  return room;
}

Json
PlatformControl::Usage() const
{
  Capacity total;
  Capacity inUse;
  for (const auto& [id, place] : mPlaces) {
    if (place.mWorker) {
      total += place.mWorker->Total();
      inUse += place.mWorker->InUse();
    }
  }
  return { { "accelerators", total.mAccelerators.Value() },
           { "accelerators_in_use", inUse.mAccelerators.Value() },
           { "cpu_millicores", total.mCpu.Value() },
           { "cpu_millicores_in_use", inUse.mCpu.Value() } };
}

Json
PlatformControl::Waits() const
{
  Json waits = Json::object();
  for (const auto& [job, wait] : mState.mWaits.Waits(Now())) {
    waits[job] = wait.count();
  }
  return waits;
}

void
PlatformControl::DelayCall(const std::string& aId, const WorkerCall& aCall)
{
  mPlaces.at(aId).mLateCalls.push_back(
    mLoop.After(mLateStartBy, [this, aId, call = aCall] { CarryOutLate(aId, call); }));
}

void
PlatformControl::CarryOutLate(const std::string& aId, const WorkerCall& aCall)
{
  auto& place = mPlaces.at(aId);
  if (!place.mWorker) {
    return;
  }
  const auto noticed = place.mRestartedAt + mNoticeTime;
  const auto now = std::chrono::steady_clock::now();
  if (now >= noticed) {
    const auto* refusal = place.mWorker->CarryOutLate(aCall);
    LogEvent("late_call")
      .With("worker", aId)
      .With("call", DumpJson(aCall.mBody))
      .With("refusal", std::string(refusal ? refusal : "none"));
    return;
  }
  place.mLateCalls.push_back(mLoop.After(std::chrono::ceil<Duration>(noticed - now),
                                         [this, aId, call = aCall] { CarryOutLate(aId, call); }));
}

Json
PlatformControl::Ledger() const
{
  Json late = Json::object();
  for (const auto& [id, place] : mPlaces) {
    const auto count = std::count_if(place.mLateCalls.begin(), place.mLateCalls.end(),
                                     [](const auto& aIt) { return aIt.IsPending(); });
    if (count > 0) {
      late[id] = count;
    }
  }
  return { { "starts", mState.mLedger.AllStarts() },
           { "running", mState.mLedger.Running() },
           { "violations", mState.mLedger.Violations() },
           { "idle_jobs", mIdleJobs.Violations() },
           { "late_starts", late } };
}

} // namespace lovagerock::standin
