#pragma once

#include "load/JobClient.h"

#include <functional>
#include <map>
#include <string>

namespace lovagerock::load {

// How many equal jobs are submitted and when.
struct JobLoadOptions
{
  JobPlan mPlan;
  int mCount = 1;
  // Time between two submissions; zero submits all at once.
  Duration mInterval{ 0 };
};

// Submits equal jobs and follows each to its end.
class JobLoad
{
public:
  // aDone is called once, after the last job.
  JobLoad(Session& aSession, JobLoadOptions aOptions, std::function<void()> aDone);

  void Start();
  // The number of jobs and their times from submission to end, per state.
  Json StatesToJson() const;

private:
  void SubmitNext();

  Session& mSession;
  JobLoadOptions mOptions;
  std::function<void()> mDone;
  JobClient mClient;
  std::map<std::string, Latencies> mTimes;
  int mSubmitted = 0;
  int mEnded = 0;
  Timer mTimer;
};

} // namespace lovagerock::load
