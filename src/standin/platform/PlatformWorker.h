#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpServer.h"
#include "standin/platform/RunLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::standin {

// A worker of the users' platform. A task's payload is the time that it takes, in milliseconds.
class PlatformWorker
{
public:
  PlatformWorker(EventLoop& aLoop, std::string aId, RunLedger& aLedger);

  std::error_code Listen(const SocketAddress& aAddress) { return mServer.Listen(aAddress); }
  const std::string& Id() const { return mId; }
  // What it writes into the registry. Its labels are its id and its rack.
  std::string Entry() const;

  // The next starts are carried out without an answer.
  void LoseStartAnswers(int aCount) { mLostStarts = aCount; }

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
  // Takes the fencing token of an order over; false, with the refusal sent, if it is too low.
  bool Obeys(const Json& aBody, const http::Responder& aTo);
  void Prolong(const Json& aBody);
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
  int mLostStarts = 0;
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
