#include "LeaderFixture.h"

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

// A leader with two workers. The leadership can change hands, and a worker that doesn't answer can
// be waited for only as long as it is silent: leases of earlier leaders outlast each test.
struct TakeoverFixture : LeaderFixture
{
  TakeoverFixture()
  {
    mSettings.mScheduler.mStoreOutageTolerance = Duration(600000);
    mStore.Put("workers/silent", "r");
  }

  bool IsLoaded() const { return mLeader && mLeader->IsLoaded(); }

  void AwaitLoaded()
  {
    RunUntil([this] { return IsLoaded(); });
  }

  // Runs a job, so that the first leader's takeover is settled and its workers are recorded.
  void RunFirstJob()
  {
    AwaitLoaded();
    Submit("first");
    RunUntil([this] { return HasStarted("first"); });
    RunUntil([this] { return mLeader->UnstoredState().mProgress.empty(); });
  }

  bool HasStarted(const std::string& aJob) const { return !StartsOf(aJob).empty(); }

  std::vector<WorkerId> StartsOf(const std::string& aJob) const
  {
    std::vector<WorkerId> workers;
    for (const auto& [worker, call] : mCalls.mStarts) {
      if (call.mRun.mTask.mJob == JobId(aJob)) {
        workers.push_back(worker);
      }
    }
    return workers;
  }

  void Silence(const std::string& aWorker) { mCalls.mUnreachable.insert(WorkerId(aWorker)); }

  // Ends the leadership without a hand-over. The same node is elected again.
  void EndLeadership() { mElection->Resign("test"); }

  // Lets time pass in which the leader plans several times.
  void RunForSomePlans()
  {
    const auto later = std::chrono::steady_clock::now() + 8 * kPlanPeriod;
    RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  }
};

} // namespace

// Guards against accepted jobs that wait for a worker which is silent or gone, although no leader
// has ever ordered a run of theirs there.
Test(Takeover, starts_jobs_without_runs_while_a_worker_does_not_answer)
{
  TakeoverFixture f;
  f.RunFirstJob();
  f.Silence("silent");
  f.EndLeadership();
  f.Submit("j");
  f.RunUntil([&] { return f.HasStarted("j"); });
  cr_assert_eq(f.StartsOf("j"), std::vector{ WorkerId("w") });
}
