#include "standin/worker/LeaseTable.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::standin;
using namespace lovagerock::workers;

namespace {

struct Fixture
{
  TimePoint mNow = std::chrono::steady_clock::now();
  LeaseTable mTable{ Resources{ Slots(8), Accelerators(8), Cores(64), MemoryMiB(1024) }, {} };
  Fence mFence{ 2, NodeId("b") };

  std::error_code Put(const char* aId, const std::string& aPayload = "{\"run_ms\":1000}",
                      const std::string& aCheckpoint = {})
  {
    LeaseRequest request;
    request.mLease = LeaseId(aId);
    request.mFence = mFence;
    request.mTtl = Duration(5000);
    request.mResources.mAccelerators = Accelerators(5);
    request.mJob = JobId("job");
    request.mPayload = aPayload;
    request.mCheckpoint = aCheckpoint;
    LeaseState state;
    return mTable.Put(request, mNow, state);
  }
  std::error_code Start(const char* aId)
  {
    return mTable.Start(LeaseId(aId), mFence, Duration(5000), mNow);
  }
  void Pass(int aMilliseconds)
  {
    mNow += Duration(aMilliseconds);
    mTable.Advance(mNow);
  }
  LeaseState State() const { return mTable.States(mNow).at(0); }
};

} // namespace

// Guards against a planner that resumes after a pause and commands workers of its successor.
Test(LeaseTable, refuses_a_lower_fence)
{
  Fixture f;
  cr_assert_not(f.Put("a"));
  f.mFence = { 2, NodeId("a") };
  cr_assert_eq(f.Start("a"), make_error_code(WorkerError::Fenced));
  cr_assert_eq(f.State().mPhase, LeasePhase::Reserved);
}

// Guards against granting the same accelerators twice.
Test(LeaseTable, refuses_more_than_its_capacity)
{
  Fixture f;
  cr_assert_not(f.Put("a"));
  cr_assert_not(f.Put("a"));
  cr_assert_eq(f.Put("b"), make_error_code(WorkerError::NoCapacity));
}

// Guards against capacity held for a planner that is gone.
Test(LeaseTable, drops_an_expired_reservation)
{
  Fixture f;
  f.Put("a");
  f.Pass(5000);
  cr_assert(f.mTable.IsEmpty());
  cr_assert_eq(f.Start("a"), make_error_code(WorkerError::NotFound));
}

// Guards against a late duplicate of a reservation that was already released.
Test(LeaseTable, refuses_a_released_id_for_its_tombstone_time)
{
  Fixture f;
  cr_assert_not(f.mTable.Release(LeaseId("a"), f.mFence, f.mNow));
  cr_assert_eq(f.Put("a"), make_error_code(WorkerError::Tombstone));
  f.mNow += kTombstoneTime;
  cr_assert_not(f.Put("a"));
}

// Guards against a task that runs on without its planner, and against lost progress.
Test(LeaseTable, checkpoints_and_stops_a_task_whose_lease_expired)
{
  Fixture f;
  f.Put("a", R"({"run_ms":9000,"checkpoint_ms":10})");
  f.Start("a");
  f.Pass(5000);
  f.Pass(10);
  cr_assert_eq(f.State().mPhase, LeasePhase::Stopped);
  cr_assert_eq(f.State().mCheckpoint, std::string("5000"));
}

Test(LeaseTable, resumes_a_task_for_the_rest_of_its_run_time)
{
  Fixture f;
  f.Put("a", R"({"run_ms":9000,"answer":"x"})", "8000");
  f.Start("a");
  f.Pass(999);
  cr_assert_eq(f.State().mPhase, LeasePhase::Running);
  f.Pass(1);
  cr_assert_eq(f.mTable.Answer(LeaseId("a")).value_or(""), std::string("x"));
}

// Guards against a reclaim that waits for a task that doesn't cooperate.
Test(LeaseTable, stops_a_task_that_ignores_the_command_at_the_deadline)
{
  Fixture f;
  f.Put("a", R"({"run_ms":60000,"ignore_stop":true})");
  f.Start("a");
  cr_assert_not(f.mTable.Stop(LeaseId("a"), f.mFence, Duration(2000), true, f.mNow));
  f.Pass(1999);
  cr_assert_eq(f.State().mPhase, LeasePhase::Stopping);
  f.Pass(1);
  cr_assert_eq(f.State().mPhase, LeasePhase::Stopped);
}

Test(LeaseTable, throttles_the_progress_of_a_task)
{
  Fixture f;
  f.Put("a");
  f.Start("a");
  f.mTable.Throttle(LeaseId("a"), f.mFence, 50, f.mNow);
  f.Pass(1999);
  cr_assert_eq(f.State().mPhase, LeasePhase::Running);
  f.Pass(1);
  cr_assert_eq(f.State().mPhase, LeasePhase::Finished);
}

// Guards against new work on a leaving worker, and against cutting what runs there.
Test(LeaseTable, takes_nothing_new_while_leaving)
{
  Fixture f;
  f.Put("a");
  f.Start("a");
  f.mTable.SetLeaving();
  cr_assert_eq(f.Put("b"), make_error_code(WorkerError::Leaving));
  f.Pass(1000);
  cr_assert_eq(f.State().mPhase, LeasePhase::Finished);
}
