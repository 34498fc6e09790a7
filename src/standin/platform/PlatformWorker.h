#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpServer.h"
#include "standin/platform/FleetShape.h"
#include "standin/platform/PlatformState.h"

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
  // This many starts, and this many calls of any kind, are neither answered nor carried out now,
  // but given to the function that delays them.
  int mLateStarts = 0;
  int mLateCalls = 0;
};

// A call to a worker, as it is carried out whether anybody waits for the answer or not.
struct WorkerCall
{
  enum class Kind
  {
    Start,
    Stop,
    Hold,
  };

  Kind mKind = Kind::Start;
  Json mBody;
};

// One life of a worker of the users' platform. A task's payload is the time that it takes, in
// milliseconds, or a list of such times by step. A start for which the worker has too little room
// is refused. The members of a gang work together, see GangTable. The destructor ends the worker as
// a crash does.
class PlatformWorker
{
public:
  using DelayCall = std::function<void(const WorkerCall&)>;

  // The function receives the late calls.
  PlatformWorker(EventLoop& aLoop, WorkerSpec aSpec, PlatformState& aState, DelayCall aDelayCall);
  ~PlatformWorker();
  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  std::error_code Listen(const SocketAddress& aAddress) { return mServer.Listen(aAddress); }
  const std::string& Id() const { return mSpec.mId; }
  // What it writes into the registry. Its labels are its id and its rack.
  std::string Entry() const;
  WorkerFaults& Faults() { return mFaults; }
  const Capacity& Total() const { return mSpec.mCapacity; }
  // What its runs take.
  Capacity InUse() const;
  // Whether it takes new tasks.
  bool IsUsable() const { return !mLeavesAtMs && !mFaults.mSilent; }
  // Registers as draining from now on, with the time until it leaves.
  void Drain(Duration aRemaining);
  // Carries out a call that nobody waits for any more. Returns the reason if it is refused, else
  // nothing.
  const char* CarryOutLate(const WorkerCall& aCall) { return CarryOut(aCall); }

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
  void Handle(const char* aPattern, WorkerCall::Kind aKind);
  // Whether a call is to be carried out late.
  bool TakesLate(WorkerCall::Kind aKind);
  // Carries out the call; the reason if it is refused, else nothing.
  const char* CarryOut(const WorkerCall& aCall);
  void Answer(const WorkerCall& aCall, const http::Responder& aTo);
  // Takes the fencing token of an order over; false if it is too low.
  bool Obeys(const Json& aBody);
  // Starts the run of an order; the reason if that is refused, else nothing.
  const char* TryStart(const Json& aBody);
  void Stop(const Json& aBody);
  // Prolongs the lease and forgets the ends that the call names.
  void Hold(const Json& aBody);
  void Prolong(const Json& aBody);
  // Ends all runs if the lease has expired.
  void CheckLease();
  void End(const RunKey& aRun, const char* aHow);
  void Tick();
  void AnswerHold(const http::Responder& aTo) const;
  void Refuse(const http::Responder& aTo, const char* aReason) const;
  std::int64_t ClockMs() const;

  WorkerSpec mSpec;
  PlatformState& mState;
  RunLedger& mLedger;
  EventLoop& mLoop;
  TimePoint mStarted;
  std::int64_t mBirthMs = 0;
  std::int64_t mHighestToken = 0;
  std::int64_t mLeaseEndMs = 0;
  std::int64_t mEnds = 0;
  std::optional<std::int64_t> mLeavesAtMs;
  WorkerFaults mFaults;
  DelayCall mDelayCall;
  // The timers of the members of gangs are in the table of gangs.
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
