#pragma once

#include "base/Adjacency.h"
#include "load/Session.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovagerock::load {

// One job.
struct JobPlan
{
  // The bearer token; the session's if empty.
  std::string mBearer;
  int mTasks = 1;
  int mAccelerators = 1;
  Adjacency mAdjacency = Adjacency::Region;
  bool mUrgent = false;
  bool mIdempotent = true;
  Duration mRunTime{ 0 };
  // The run time that is told to the system.
  Duration mEstimate{ 0 };
  // The job counts as lost if it has not ended after this time.
  Duration mLimit{ 600000 };
  // The time from which the completion time counts.
  TimePoint mIntended;
};

// Submits jobs, waits for their end, fetches and checks the answers of all tasks, and deletes them.
// Every call goes to the next target.
class JobClient
{
public:
  // The state a job ended in, and its time from the intended submission to its end.
  using Done = std::function<void(const std::string& aState, std::chrono::microseconds aTime)>;

  explicit JobClient(Session& aSession);

  void Run(const JobPlan& aPlan, Done aDone);

private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void OnSubmitted(const JobPtr& aJob, const CallResult& aResult);
  void Wait(const JobPtr& aJob);
  void OnState(const JobPtr& aJob, const CallResult& aResult);
  // Fetches the answers one after the other, then deletes the job.
  void FetchNext(const JobPtr& aJob);
  void OnAnswer(const JobPtr& aJob, const CallResult& aResult);
  void Delete(const JobPtr& aJob);
  void End(const JobPtr& aJob, Outcome aOutcome, const std::string& aError);
  CallSpec NewCall(const JobPtr& aJob, http::Method aMethod, const std::string& aSuffix) const;

  Session& mSession;
};

} // namespace lovagerock::load
