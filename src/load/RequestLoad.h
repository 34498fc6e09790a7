#pragma once

#include "load/RateSchedule.h"
#include "load/RequestSender.h"
#include "load/TimeSeries.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace lovagerock::load {

// How many requests are sent and when.
struct RequestLoadOptions
{
  RequestPlan mPlan;
  // Requests that are open at a time; in an open loop the most that are.
  int mConnections = 1;
  // When the requests of an open loop are due; nothing is a closed loop.
  std::optional<RateSchedule> mSchedule;
  // Length of the intervals of the time series; zero is no series.
  Duration mInterval{ 0 };
  // New requests are sent for this time; zero is no limit.
  Duration mTime{ 10000 };
  // The number of requests; 0 is no limit.
  std::int64_t mCount = 0;
  // Share of the requests that are not idempotent, in percent.
  int mNonIdempotentPercent = 0;
};

// Sends requests to one service. In a closed loop each connection sends the next request when the
// answer is there. In an open loop requests are due by a schedule of rates, and their latency
// counts from the time at which they were due, so that a slow system does not hide its waiting
// times.
class RequestLoad
{
public:
  // aDone is called once, after the last answer.
  RequestLoad(Session& aSession, RequestLoadOptions aOptions, std::function<void()> aDone);

  void Start();
  // The time series; null if none was asked for.
  Json SeriesToJson() const;

private:
  // Whether a request that is due at aWhen is still sent.
  bool IsDue(TimePoint aWhen) const;
  // The time at which the next request of an open loop is due; the latest time if none is.
  TimePoint NextDue() const;
  void SendOne(TimePoint aIntended);
  void SendDue();
  // Waits for the next due time.
  void Schedule();
  void OnAnswer(TimePoint aIntended, Outcome aOutcome, std::chrono::microseconds aLatency);
  void EndIfDone();

  Session& mSession;
  RequestLoadOptions mOptions;
  std::function<void()> mDone;
  RequestSender mSender;
  std::optional<TimeSeries> mSeries;
  TimePoint mBegin;
  std::int64_t mSent = 0;
  int mOpen = 0;
  bool mEnded = false;
  Timer mTimer;
};

} // namespace lovagerock::load
