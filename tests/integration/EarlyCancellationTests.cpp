#include "integration/EdgeSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;
using namespace std::chrono_literals;

namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr int kNodes = 4;
// Longer than the test, so that a task that was started is seen at work.
constexpr auto kTaskTime = 10min;
// Long enough for the submission to be sent on a busy machine. The node must find it later.
constexpr auto kPatience = 2s;

// Submits a job to a node that stands still, leaves, cancels the job at another node and lets the
// first one go on, which reads the submission then.
void
CancelPastFrozenNode(EdgeSystem& aSystem, bool aChangesLeader)
{
  const int leader = aSystem.AwaitLeaderExcept({});
  const int frozen = (leader + 1) % kNodes;
  const int other = (leader + 2) % kNodes;
  aSystem.Freeze(frozen);
  const Json step{
    { "count", 1 }, { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 1 }, { "estimate_ms", 1000 }
  };
  aSystem.SubmitAndLeave(frozen, kJob, Json::array({ step }), kTaskTime, kPatience);
  const auto cancelled = aSystem.Cancel(other, kJob);
  Require(cancelled.Is(410), "not acknowledged: " + cancelled.Describe());
  if (aChangesLeader) {
    aSystem.Kill(leader);
    aSystem.AwaitLeaderExcept({ leader, frozen });
  }
  aSystem.Resume(frozen);
  // The submission is stored, and shown as what became of it.
  aSystem.AwaitState(other, kJob, "cancelled");
  Require(aSystem.Ledger().at("starts").empty(), "a task was started");
}

} // namespace

// Guards against a job that runs although its cancellation was acknowledged, because a node that
// stood still stores the submission later.
Test(EarlyCancellations, stop_a_submission_past_a_node_that_stands_still)
{
  RunWithEdges(kNodes, 2, [](EdgeSystem& aSystem) { CancelPastFrozenNode(aSystem, false); });
}

// Guards against the same if the leader is killed in between.
Test(EarlyCancellations, hold_for_a_leader_that_is_elected_later)
{
  RunWithEdges(kNodes, 2, [](EdgeSystem& aSystem) { CancelPastFrozenNode(aSystem, true); });
}
