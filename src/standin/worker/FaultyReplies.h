#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpMessage.h"
#include "http/Responder.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lovagerock::standin {

// Faults that a test sets.
struct WorkerFaults
{
  // Tasks and requests fail as soon as they start.
  bool mFailAll = false;
  // Calls are accepted, but neither done nor answered.
  bool mFreeze = false;
  // Delay of each answer.
  Duration mSlow{ 0 };
  // Number of calls that are done, but whose connection is closed without an answer. Reading the
  // state doesn't count, because polls would use the number up.
  int mLoseAnswers = 0;
};

// Sends the answers of a worker and applies its faults to them. Belongs to its loop.
class FaultyReplies
{
public:
  explicit FaultyReplies(EventLoop& aLoop);

  // Changes the faults named in {"fail_all", "freeze", "slow_ms", "lose_answers"}.
  void Change(const Json& aFaults);
  const WorkerFaults& Faults() const { return mFaults; }

  // Keeps a caller waiting for as long as the worker is frozen.
  void Hold(const http::Responder& aResponder);
  void Send(const http::Responder& aResponder, http::Response aResponse, bool aMayBeLost = true);

private:
  void CloseWithoutAnswer(const http::Responder& aResponder);

  EventLoop* mLoop;
  WorkerFaults mFaults;
  std::vector<http::Responder> mHeld;
  std::map<std::uint64_t, Timer> mDelays;
  std::uint64_t mNextDelay = 0;
};

} // namespace lovagerock::standin
