#pragma once

#include "load/JobClient.h"
#include "load/RequestSender.h"
#include "load/TraceFile.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovagerock::load {

// How a trace is replayed.
struct TraceLoadOptions
{
  std::vector<TraceEntry> mEntries;
  // How many times faster than recorded; run times shrink alike.
  double mSpeed = 1;
  // Bearer tokens by account; other accounts use the session's.
  std::map<std::string, std::string> mBearers;
  bool mIdempotent = true;
  // Limit for each job, in real time.
  Duration mLimit{ 600000 };
};

// Replays a recorded mix of jobs and requests at their times.
class TraceLoad
{
public:
  // aDone is called once, after the last job and request.
  TraceLoad(Session& aSession, TraceLoadOptions aOptions, std::function<void()> aDone);

  void Start();
  // Completion times in real time per account, for jobs by state and for requests.
  Json AccountsToJson() const;

private:
  Duration ToRealTime(double aMinutes) const;
  void SendDue();
  void Send(const TraceEntry& aEntry);
  void SendJob(const TraceEntry& aEntry, const std::string& aBearer, TimePoint aIntended);
  void SendRequest(const TraceEntry& aEntry, const std::string& aBearer, TimePoint aIntended);
  void OnEnd();

  Session& mSession;
  TraceLoadOptions mOptions;
  std::function<void()> mDone;
  JobClient mJobs;
  RequestSender mRequests;
  // By account and by "request" or the end state of a job.
  std::map<std::string, std::map<std::string, Latencies>> mTimes;
  TimePoint mBegin;
  std::size_t mNext = 0;
  std::size_t mEnded = 0;
  Timer mTimer;
};

} // namespace lovagerock::load
