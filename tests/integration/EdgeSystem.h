#pragma once

#include "base/Json.h"
#include "base/SocketAddress.h"
#include "integration/HttpCaller.h"
#include "integration/Process.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lovagerock::integration {

// The workers of the stand-in for the users' platform.
struct WorkerFleet
{
  int mCount = 0;
  int mPerRack = 1;
  int mMilliCores = 8000;
  int mMemoryMb = 8000;
  int mAccelerators = 8;
};

// Entry nodes on the stand-in for the users' platform, which has a store and workers. Each node has
// an address of the store of its own. All functions end the test on failure. The destructor ends
// all processes.
class EdgeSystem
{
public:
  // Starts everything and waits until all nodes are ready. aNodeSettings are lines that are added
  // to the settings file of each node.
  EdgeSystem(int aNodes, const WorkerFleet& aWorkers, std::string aNodeSettings = {});
  ~EdgeSystem();
  EdgeSystem(const EdgeSystem&) = delete;
  EdgeSystem& operator=(const EdgeSystem&) = delete;

  // Submits a job at a node; each task takes the time.
  CallResult Submit(int aNode, const std::string& aJob, const Json& aSteps,
                    std::chrono::milliseconds aTaskTime);
  // The same with a time for the tasks of each step.
  CallResult Submit(int aNode, const std::string& aJob, const Json& aSteps,
                    const std::vector<std::chrono::milliseconds>& aTaskTimes);
  // Submits a job with a caller of the thread's own, and tells the platform's check of idle jobs of
  // it once it is accepted. Returns whether it is. May be called by several threads at a time.
  bool SubmitChecked(HttpCaller& aCaller, int aNode, const std::string& aJob, const Json& aSteps,
                     std::chrono::milliseconds aTaskTime) const;
  // Submits a job at a node, waits for the answer for that time only and closes the connection. The
  // node may read the request later, if it is frozen.
  void SubmitAndLeave(int aNode, const std::string& aJob, const Json& aSteps,
                      std::chrono::milliseconds aTaskTime, std::chrono::milliseconds aPatience);
  CallResult Cancel(int aNode, const std::string& aJob);
  // The job's state as the node tells it; empty without an answer of 200. The platform's ledger is
  // told of jobs that are shown as completed.
  std::string State(int aNode, const std::string& aJob);
  void AwaitState(int aNode, const std::string& aJob, const std::string& aState);

  // The node that leads according to the store, or -1.
  int Leader();
  // Waits for a leader that is none of the nodes.
  int AwaitLeaderExcept(const std::vector<int>& aNodes);
  // Waits until no node holds the leadership.
  void AwaitNoLeader();
  // The platform is told of all that happens to nodes, for its check of idle jobs.
  void Kill(int aNode);
  // Stops the node's process by a signal until it is resumed.
  void Freeze(int aNode);
  void Resume(int aNode);
  // Asks the node to shut down; doesn't wait for its end.
  void Stop(int aNode);
  void AwaitStopped(int aNode);
  void Start(int aNode);
  void AwaitReady(int aNode);
  // What a node listens on.
  const SocketAddress& CallersAddress(int aNode) { return At(aNode).mCallers; }
  const SocketAddress& ReadinessAddress(int aNode) { return At(aNode).mReadiness; }
  const SocketAddress& PeersAddress(int aNode) { return At(aNode).mPeers; }
  Process& ProcessOf(int aNode) { return *At(aNode).mProcess; }
  // Returns the node's metrics in the text format.
  std::string Metrics(int aNode);

  // Replaces the configuration, which has version 1, and waits until all nodes serve the queue with
  // the path prefix. It must be a public one, and no part of the present configuration.
  void Configure(const Json& aConfiguration, const std::string& aNewPrefix);
  // Sets faults of the platform, see PlatformControl.
  void SetFaults(const Json& aFaults);
  // Closes the store to the nodes, and opens it to all others.
  void CloseStoreTo(const std::vector<int>& aNodes);
  // Waits until the store's record names no worker on which work may be started.
  void AwaitNoRecordedWorker();
  // Makes the worker drain and leave for good after the time.
  void Drain(const std::string& aWorker, std::chrono::milliseconds aRemaining);
  // Makes the worker crash, unless it has left, and start again at once under the same id. It
  // registers after the time.
  void Restart(const std::string& aWorker,
               std::chrono::milliseconds aRegistersAfter = std::chrono::milliseconds(0));
  // What has run, see PlatformControl.
  Json Ledger();
  // Ends the test if a task ran twice at a time or after its end.
  void RequireNothingRanTwice();
  // Waits until no task of the job runs; callers have cancelled it.
  void AwaitNotRunning(const std::string& aJob);
  // Ends the test if a job had nothing running for too long, see IdleJobCheck.
  void RequireNoIdleJob();
  // How much of all workers is in use, see PlatformControl; by a caller of the thread's own.
  Json Usage(HttpCaller& aCaller) const;
  // The time from the acceptance of each job that was submitted with SubmitChecked() to its first
  // start.
  std::map<std::string, std::chrono::milliseconds> Waits();
  std::string LogTails() const;

private:
  struct Node
  {
    std::string mSettings;
    SocketAddress mCallers;
    SocketAddress mReadiness;
    SocketAddress mPeers;
    std::unique_ptr<Process> mProcess;
  };

  std::vector<std::string> PlatformArguments(int aNodes, const WorkerFleet& aWorkers) const;
  http::ClientRequest
  SubmitCall(int aNode, const std::string& aJob, const Json& aSteps, const Json& aPayload) const;
  // Tells the platform what the tasks of a job take, before it is submitted, so that workers know
  // it when the first start arrives.
  void Announce(HttpCaller& aCaller, const std::string& aJob, const Json& aSteps) const;
  CallResult
  SubmitPayload(int aNode, const std::string& aJob, const Json& aSteps, const Json& aPayload);
  // Tells the platform that a node or its way to the store has changed.
  void ReportDisruption();
  void Command(const std::string& aPath, const Json& aBody);
  // The node's address of the store; the first one is used by tests.
  SocketAddress StoreOf(int aNode) const;
  Node& At(int aNode) { return mNodes.at(static_cast<std::size_t>(aNode)); }
  void AddNode(int aNode);

  std::string mNodeSettings;
  std::string mDirectory;
  SocketAddress mStore;
  SocketAddress mControl;
  std::unique_ptr<Process> mPlatform;
  std::vector<Node> mNodes;
  std::set<int> mFrozen;
  bool mIsStoreClosed = false;
  HttpCaller mCaller;
};

// Runs the test with a fresh system. A TestFailure ends all processes, prints the ends of their
// logs and fails the Criterion test.
void
RunWithEdges(int aNodes, const WorkerFleet& aWorkers, const std::function<void(EdgeSystem&)>& aTest,
             const std::string& aNodeSettings = {});
// The same with workers of 8 accelerators, each in a rack of its own.
void
RunWithEdges(int aNodes, int aWorkers, const std::function<void(EdgeSystem&)>& aTest);

} // namespace lovagerock::integration
