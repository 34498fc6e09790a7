#pragma once

#include "FakeStore.h"
#include "base/Random.h"
#include "control/Leader.h"

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Fake workers whose replies the test sets.
class FakeCalls
{
public:
  explicit FakeCalls(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void Start(const WorkerTarget& aTarget, const StartCall& aCall, OrderCallback aCallback)
  {
    mStarts.emplace_back(aTarget.mWorker, aCall);
    mStartTokens.push_back(aTarget.mToken);
    if (mHoldsOrders) {
      mHeldOrders.push_back(aCallback);
      return;
    }
    mRunning[aTarget.mWorker].push_back({ aCall.mRun, aCall.mCheckpoint, 0 });
    Answer([this, aCallback] { aCallback({ mOrderOutcome, scheduler::WorkerClock(++mClock) }); });
  }

  void Stop(const WorkerTarget&, const scheduler::RunRef&, OrderCallback aCallback)
  {
    if (mHoldsOrders) {
      mHeldOrders.push_back(aCallback);
      return;
    }
    Answer([this, aCallback] { aCallback({ mOrderOutcome, scheduler::WorkerClock(++mClock) }); });
  }

  void RenewLease(const WorkerTarget& aTarget, const RenewalCall& aCall, RenewalCallback aCallback)
  {
    mRenewalCalls.push_back(aCall);
    mRenewalTokens.push_back(aTarget.mToken);
    mContacted.insert(aTarget.mWorker);
    // The delay keeps the leader from renewing in a tight loop.
    mTimers.push_back(mLoop.After(Duration(5), [this, aTarget, aCall, aCallback] {
      RenewalReply reply;
      reply.mOutcome =
        mUnreachable.contains(aTarget.mWorker) ? scheduler::OrderOutcome::NotSent : mRenewalOutcome;
      reply.mReport.mClock = scheduler::WorkerClock(++mClock);
      reply.mReport.mIncarnation = mIncarnation;
      reply.mReport.mRunning = mRunning[aTarget.mWorker];
      reply.mReport.mFinished = mFinished;
      const auto& ended = DropStoredEnds(aTarget.mWorker, aCall.mLastStoredEnd);
      reply.mReport.mFinished.insert(reply.mReport.mFinished.end(), ended.begin(), ended.end());
      reply.mReport.mHasUnreadableRows = mHasUnreadableRows;
      reply.mReport.mIsPartial = mHasUnreadableRows;
      aCallback(reply);
    }));
  }

  // Ends all runs. Each worker reports its own until it is told that they are stored.
  void EndAllRuns()
  {
    for (auto& [worker, runs] : mRunning) {
      auto& ends = mEnds[worker];
      for (const auto& it : runs) {
        ends.mUnstored.push_back({ ++ends.mLast, it.mRun, scheduler::RunEnd::Done, "" });
      }
      runs.clear();
    }
  }

  scheduler::OrderOutcome mOrderOutcome = scheduler::OrderOutcome::Done;
  scheduler::OrderOutcome mRenewalOutcome = scheduler::OrderOutcome::Done;
  std::vector<std::pair<WorkerId, StartCall>> mStarts;
  std::vector<FencingToken> mStartTokens;
  // Whether orders are neither carried out nor answered, and the callbacks of those.
  bool mHoldsOrders = false;
  std::vector<OrderCallback> mHeldOrders;
  std::vector<RenewalCall> mRenewalCalls;
  std::vector<FencingToken> mRenewalTokens;
  // The incarnation that every worker reports; 0 for none.
  scheduler::WorkerIncarnation mIncarnation;
  std::set<WorkerId> mContacted;
  // Workers whose address refuses connections.
  std::set<WorkerId> mUnreachable;
  std::map<WorkerId, std::vector<scheduler::RunningRun>> mRunning;
  // The ended runs that every worker reports.
  std::vector<scheduler::FinishedRun> mFinished;
  // Whether the reports have rows that can't be read.
  bool mHasUnreadableRows = false;

private:
  // The ends of a worker's runs.
  struct Ends
  {
    std::vector<scheduler::FinishedRun> mUnstored;
    std::int64_t mLast = 0;
  };

  template<typename Task>
  void Answer(Task aTask)
  {
    mLoop.Post(std::move(aTask));
  }

  // Drops the worker's ends up to that number, and returns the others.
  const std::vector<scheduler::FinishedRun>&
  DropStoredEnds(const WorkerId& aWorker, std::int64_t aLastStored)
  {
    auto& ends = mEnds[aWorker].mUnstored;
    std::erase_if(ends, [aLastStored](const auto& aIt) { return aIt.mNumber <= aLastStored; });
    return ends;
  }

  EventLoop& mLoop;
  std::map<WorkerId, Ends> mEnds;
  std::int64_t mClock = 1000;
  std::vector<Timer> mTimers;
};

// The value of an entry is the name of the worker's rack.
struct FakeRegistry
{
  static std::string Prefix() { return "workers/"; }
  static WorkerId Worker(const std::string& aKey) { return WorkerId(aKey.substr(8)); }
  static std::optional<scheduler::WorkerEntry>
  Read(const std::string& aKey, const std::string& aValue)
  {
    scheduler::WorkerEntry entry;
    entry.mId = Worker(aKey);
    entry.mAddress = SocketAddress("127.0.0.1", 7001);
    entry.mService = ServiceId("service");
    entry.mRack = RackId(aValue);
    entry.mCapacity = { scheduler::MilliCores(8000), MemoryMiB(8000), Accelerators(8) };
    return entry;
  }
};

// A leader with one registered worker, whose entry is readable only to FakeRegistry.
template<WorkerRegistry Registry>
struct BasicLeaderFixture
{
  BasicLeaderFixture()
  {
    mSettings.mNode = NodeId("n");
    mSettings.mPeers = SocketAddress("127.0.0.1", 7000);
    mDeployment.mQueues.push_back({ "queue", "host", "/q/", true, mPolicy });
    mStore.Put("workers/w", "r");
    // The claim of a former leader, whose hand-over is requested.
    mStore.Put(std::string(kLastLeaderKey), "former");
    ElectionCallbacks callbacks;
    callbacks.mOnElected = [this](FencingToken) {
      mLeader.emplace(mLoop, mStore, mCalls, *mElection, mSettings, mDeployment,
                      [this](const FormerLeader&, Duration, const HandOverCallback& aCallback) {
                        aCallback(mHandOver);
                      });
    };
    callbacks.mOnLost = [this](const char*) { ++mLost; };
    mElection.emplace(mLoop, mStore, mRandom, mSettings, std::move(callbacks));
  }

  // Runs the loop until the condition holds; fails the test if it never does.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    constexpr Duration kLimit{ 20000 };
    const auto limit = std::chrono::steady_clock::now() + kLimit;
    const auto check = mLoop.Every(Duration(2), [&] {
      if (aCondition() || std::chrono::steady_clock::now() > limit) {
        mLoop.Stop();
      }
    });
    if (!aCondition()) {
      mLoop.Run();
    }
    cr_assert(aCondition());
  }

  void Submit(const std::string& aId, std::int64_t aAcceptedMs = WallClockMs())
  {
    scheduler::AcceptedJob job;
    job.mId = JobId(aId);
    job.mQueue = "queue";
    job.mAcceptedMs = aAcceptedMs;
    job.mPolicy = mPolicy;
    job.mSpec.mSteps.emplace_back().mDemand.mAccelerators = Accelerators(1);
    mStore.Put(KeyOf(kJobPrefix, job.mId), scheduler::WriteAcceptedJob(job));
  }

  // Workers' leases end soon, so that a worker can be given up within a test. Must be called before
  // the leader is elected.
  void UseShortLeases()
  {
    mSettings.mScheduler.mLeaseDuration = Duration(200);
    mSettings.mScheduler.mLongestLease = Duration(200);
    mSettings.mScheduler.mStoreOutageTolerance = Duration(1000);
  }

  // Lets the worker fall silent and its entry go, until its lease is over and it is given up.
  void LoseWorker()
  {
    mCalls.mUnreachable.insert(WorkerId("w"));
    mCalls.mRunning.clear();
    mStore.Remove("workers/w");
    RunUntil([&] { return mLeader->Status().mFormerWorkers == 1; });
    // The last retry of the calls finds that it is gone.
    const auto later = std::chrono::steady_clock::now() + 2 * kRenewalRetryDelay;
    RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  }

  const scheduler::QueuePolicy mPolicy{ ServiceId("service"), 1, 2, 3.0, Duration(1000) };
  EventLoop mLoop;
  FakeStore mStore{ mLoop };
  FakeCalls mCalls{ mLoop };
  Random mRandom{ 7 };
  ControlSettings mSettings;
  Deployment mDeployment;
  std::optional<Election<FakeStore>> mElection;
  std::optional<Leader<FakeStore, FakeCalls, Registry>> mLeader;
  // The former leader's hand-over.
  HandOver mHandOver;
  int mLost = 0;
};

using LeaderFixture = BasicLeaderFixture<FakeRegistry>;

} // namespace lovagerock::control
