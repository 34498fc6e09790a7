#pragma once

#include "base/Json.h"
#include "base/Units.h"
#include "load/WorkerRuns.h"

#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagerock::load {

// How strictly traces are judged.
struct VerifyOptions
{
  // Members of a gang whose runs don't overlap must at least have started within this time. 2 s is
  // the time after which an unconfirmed start stops a gang.
  Duration mGangStart{ 2000 };
  // Whether a run without an end counts as stopped, for tests that kill workers.
  bool mOpenIsStopped = false;
};

// Checks the workers' and the callers' traces of a run against each other. A break of a rule is
// one line of text that starts with the rule's name: "ran_twice", "not_run_but_ran",
// "partial_gang" or "not_answered_once".
class Verifier
{
public:
  explicit Verifier(VerifyOptions aOptions);

  // False with aProblem set if the file is malformed.
  bool ReadWorkerTrace(std::istream& aFile, std::string& aProblem);
  bool ReadClientTrace(std::istream& aFile, std::string& aProblem);

  // All breaks, in no particular order.
  std::vector<std::string> Check();
  // What was checked: numbers of requests, jobs, and runs.
  Json Summary() const;

private:
  void CheckRequestRuns();
  void CheckJobRuns();
  void CheckGang(const std::string& aName, const std::map<int, std::vector<WorkerRun>>& aTasks);
  void CheckIncompleteGang(const std::string& aName,
                           const std::map<int, std::vector<WorkerRun>>& aTasks);
  void CheckClientRequests();
  void CheckClientJobs();
  // The number of runs of a request id over the node's attempts.
  std::size_t StartsOf(const std::string& aRequestId) const;
  void Break(const char* aRule, const std::string& aText);

  VerifyOptions mOptions;
  WorkerRuns mRuns;
  std::map<std::string, std::size_t> mStarts;
  std::vector<Json> mRequests;
  std::vector<Json> mJobs;
  std::vector<std::string> mBreaks;
};

} // namespace lovagerock::load
