#include "standin/platform/PlatformWorker.h"

#include "base/WallClock.h"

#include <algorithm>
#include <chrono>

namespace lovagerock::standin {

namespace {

constexpr Duration kTick{ 10 };
// The longest lease that a worker grants.
constexpr std::int64_t kLongestLeaseMs = 10000;

} // namespace

PlatformWorker::PlatformWorker(EventLoop& aLoop, std::string aId, RunLedger& aLedger)
  : mId(std::move(aId))
  , mLedger(aLedger)
  , mLoop(aLoop)
  , mStarted(std::chrono::steady_clock::now())
  , mBirthMs(WallClockMs())
  , mServer(aLoop)
{
  Handle("/lovagerock/run-start", &PlatformWorker::OnStart);
  Handle("/lovagerock/run-stop", &PlatformWorker::OnStop);
  Handle("/lovagerock/hold", &PlatformWorker::OnHold);
  mTick = aLoop.Every(kTick, [this] { Tick(); });
}

std::string
PlatformWorker::Entry() const
{
  return DumpJson({ { "service", "batch" },
                    { "address", mServer.Address().ToString() },
                    { "zone", "z" },
                    { "state", "ready" },
                    { "capacity", { { "cpu", 8000 }, { "mem_mb", 8000 }, { "gpu", 8 } } },
                    { "labels", { mId, "rack-" + mId } },
                    { "born", mBirthMs } });
}

void
PlatformWorker::Handle(const char* aPattern, Handler aHandler)
{
  mServer.Handle(http::Method::Post, aPattern,
                 [this, aHandler](const http::Request& aRequest, http::Responder aTo) {
                   if (aRequest.mHeaders.Get("Expected-Instance") != mId) {
                     aTo.Send({ 421, {}, "" });
                     return;
                   }
                   const auto body = ParseJson(aRequest.mBody).value_or(Json::object());
                   if (Obeys(body, aTo)) {
                     (this->*aHandler)(body, aTo);
                   }
                 });
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
PlatformWorker::Obeys(const Json& aBody, const http::Responder& aTo)
{
  const auto token = JsonValue(aBody, "fencing_token", std::int64_t{ 0 });
  if (token < mHighestToken) {
    Refuse(aTo, "fence");
    return false;
  }
  mHighestToken = token;
  return true;
}

void
PlatformWorker::Prolong(const Json& aBody)
{
  const auto deadline = JsonValue(aBody, "deadline_ms", std::int64_t{ 0 });
  mLeaseEndMs = std::max(mLeaseEndMs, std::min(deadline, ClockMs() + kLongestLeaseMs));
}

void
PlatformWorker::OnStart(const Json& aBody, const http::Responder& aTo)
{
  const RunKey run{ JsonValue(aBody, "task", std::string()), JsonValue(aBody, "run", 0) };
  if (JsonValue(aBody, "deadline_ms", std::int64_t{ 0 }) <= ClockMs()) {
    Refuse(aTo, "late");
    return;
  }
  Prolong(aBody);
  if (!mRunning.contains(run)) {
    if (const auto it = mHighestEnded.find(run.first);
        it != mHighestEnded.end() && run.second <= it->second) {
      Refuse(aTo, "old");
      return;
    }
    const auto time = ParseJson(JsonValue(aBody, "spec", std::string()));
    const Duration takes(time && time->is_number_integer() ? time->get<std::int64_t>() : 0);
    mLedger.OnStart(mId, run.first, run.second);
    mRunning[run] = mLoop.After(takes, [this, run] { End(run, "done"); });
  }
  if (mLostStarts > 0) {
    --mLostStarts;
    mUnanswered.push_back(aTo);
    return;
  }
  aTo.Send(http::JsonResponse(200, DumpJson({ { "clock_ms", ClockMs() } })));
}

void
PlatformWorker::OnStop(const Json& aBody, const http::Responder& aTo)
{
  const RunKey run{ JsonValue(aBody, "task", std::string()), JsonValue(aBody, "run", 0) };
  auto& highest = mHighestEnded[run.first];
  highest = std::max(highest, run.second);
  if (mRunning.contains(run)) {
    End(run, "stopped");
  }
  aTo.Send(http::JsonResponse(200, DumpJson({ { "clock_ms", ClockMs() } })));
}

void
PlatformWorker::OnHold(const Json& aBody, const http::Responder& aTo)
{
  Prolong(aBody);
  const auto seen = JsonValue(aBody, "last_seen", std::int64_t{ 0 });
  std::erase_if(mEnded, [this, seen](const auto& aIt) {
    const bool isSeen = aIt.mNumber <= seen;
    if (isSeen) {
      mLedger.OnAcknowledged(aIt.mRun.first, aIt.mHow == "done");
    }
    return isSeen;
  });
  const auto wait = JsonValue(aBody, "wait_ms", std::int64_t{ 0 });
  if (mEnded.empty() && wait > 0) {
    mHolds.push_back({ std::chrono::steady_clock::now() + Duration(wait), aTo });
  } else {
    AnswerHold(aTo);
  }
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
  mLedger.OnEnd(mId, run.first, run.second, std::string_view(aHow) == "done");
  for (const auto& it : std::exchange(mHolds, {})) {
    AnswerHold(it.mResponder);
  }
}

void
PlatformWorker::Tick()
{
  while (!mRunning.empty() && mLeaseEndMs < ClockMs()) {
    End(mRunning.begin()->first, "lapsed");
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
