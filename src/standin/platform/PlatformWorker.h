#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpServer.h"
#include "standin/platform/RunLedger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::standin {

// How a worker misbehaves.
struct WorkerFaults
{
  // Carries out no call and answers none; what runs goes on.
  bool mSilent = false;
  // Carries out orders whatever their fencing token is.
  bool mIgnoresTokens = false;
  // This many starts are carried out without an answer.
  int mLostStarts = 0;
  // This many starts are neither answered nor carried out now, but given to the function that
  // delays them.
  int mLateStarts = 0;
};

// One life of a worker of the users' platform. A task's payload is the time that it takes, in
// milliseconds, or a list of such times by step. The destructor ends the worker as a crash does.
class PlatformWorker
{
public:
  using DelayStart = std::function<void(const Json&)>;

  // The function receives the bodies of late starts.
  PlatformWorker(EventLoop& aLoop, std::string aId, RunLedger& aLedger, DelayStart aDelayStart);
  ~PlatformWorker();
  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  std::error_code Listen(const SocketAddress& aAddress) { return mServer.Listen(aAddress); }
  const std::string& Id() const { return mId; }
  // What it writes into the registry. Its labels are its id and its rack.
  std::string Entry() const;
  WorkerFaults& Faults() { return mFaults; }
  // Registers as draining from now on, with the time until it leaves.
  void Drain(Duration aRemaining);
  // Carries out a start order that nobody waits for any more.
  void StartLate(const Json& aBody);

private:
  using RunKey = std::pair<std::string, int>;
  struct Ended
  {
    std::int64_t mNumber = 0;
    RunKey mRun;
    std::string mHow;
  };
  struct WaitingHold
  {
    TimePoint mUntil;
    http::Responder mResponder;
  };
  using Handler = void (PlatformWorker::*)(const Json&, const http::Responder&);

  void Handle(const char* aPattern, Handler aHandler);
  void OnStart(const Json& aBody, const http::Responder& aTo);
  void OnStop(const Json& aBody, const http::Responder& aTo);
  void OnHold(const Json& aBody, const http::Responder& aTo);
  // Takes the fencing token of an order over; false if it is too low.
  bool Obeys(const Json& aBody);
  // Starts the run of an order; the reason if that is refused, else nothing.
  const char* TryStart(const Json& aBody);
  void Prolong(const Json& aBody);
  // Ends all runs if the lease has expired.
  void CheckLease();
  void End(const RunKey& aRun, const char* aHow);
  void Tick();
  void AnswerHold(const http::Responder& aTo) const;
  void Refuse(const http::Responder& aTo, const char* aReason) const;
  std::int64_t ClockMs() const;

  std::string mId;
  RunLedger& mLedger;
  EventLoop& mLoop;
  TimePoint mStarted;
  std::int64_t mBirthMs = 0;
  std::int64_t mHighestToken = 0;
  std::int64_t mLeaseEndMs = 0;
  std::int64_t mEnds = 0;
  std::optional<std::int64_t> mLeavesAtMs;
  WorkerFaults mFaults;
  DelayStart mDelayStart;
  std::map<RunKey, Timer> mRunning;
  // The highest run of each task that ended here.
  std::map<std::string, int> mHighestEnded;
  std::vector<Ended> mEnded;
  std::vector<WaitingHold> mHolds;
  std::vector<http::Responder> mUnanswered;
  http::HttpServer mServer;
  Timer mTick;
};

} // namespace lovagerock::standin
