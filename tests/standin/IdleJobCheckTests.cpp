#include "standin/platform/IdleJobCheck.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

using namespace lovagerock;
using namespace lovagerock::standin;
using namespace std::chrono_literals;

namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr const char* kWorker = "worker-0";
constexpr Duration kPeriod{ 100 };
// Room for so many tasks is free.
constexpr int kRoom = 8;
constexpr Duration kLong{ 60000 };

std::string
Task(int aStep, int aIndex)
{
  return std::string(kJob) + ".0." + std::to_string(aStep) + "." + std::to_string(aIndex);
}

// A worker with so many free accelerators and nothing else.
FreeRoom
Room(int aAccelerators)
{
  FreeRoom room;
  room.Add({ {}, {}, Accelerators(aAccelerators) });
  return room;
}

// A calm system with an accepted job of two steps, of two tasks and one.
struct CheckFixture
{
  CheckFixture()
  {
    mCheck.Look(mLedger, Room(kRoom), mNow);
    Pass(kLong, kRoom);
    mCheck.OnAccepted(kJob, { { 2, {} }, { 1, { 0 } } }, mNow);
  }

  void Pass(Duration aTime, int aRoom) { Pass(aTime, Room(aRoom)); }

  void Pass(Duration aTime, const FreeRoom& aRoom)
  {
    for (const auto end = mNow + aTime; mNow < end;) {
      mNow += kPeriod;
      mCheck.Look(mLedger, aRoom, mNow);
    }
  }

  void Start(const std::string& aTask) { mLedger.OnStart(kWorker, aTask, 1); }
  void End(const std::string& aTask) { mLedger.OnEnd(kWorker, aTask, 1, true); }
  bool HasViolation() const { return !mCheck.Violations().empty(); }

  RunLedger mLedger;
  IdleJobCheck mCheck;
  TimePoint mNow = TimePoint(1h);
};

} // namespace

// Guards against a check that misses an accepted job that never starts, or reports it too soon.
Test(IdleJobCheck, finds_a_job_that_nothing_runs_of)
{
  CheckFixture f;
  f.Pass(IdleJobCheck::kIdleLimit, kRoom);
  cr_assert_not(f.HasViolation());
  f.Pass(kPeriod, kRoom);
  cr_assert_eq(f.mCheck.Violations().size(), 1U);
  cr_assert(f.mCheck.Violations().front().starts_with(kJob));
}

// Guards against a check that counts tasks that wait beside a running one.
Test(IdleJobCheck, passes_over_a_job_with_a_running_task)
{
  CheckFixture f;
  f.Start(Task(0, 0));
  f.Pass(kLong, kRoom);
  cr_assert_not(f.HasViolation());
}

// Guards against a check that takes a job for idle that needs nothing more.
Test(IdleJobCheck, passes_over_a_job_whose_tasks_are_done)
{
  CheckFixture f;
  for (const auto& it : { Task(0, 0), Task(0, 1), Task(1, 0) }) {
    f.Start(it);
    f.End(it);
  }
  f.Pass(kLong, kRoom);
  cr_assert_not(f.HasViolation());
}

// Guards against a check that looks at the first step only.
Test(IdleJobCheck, finds_a_step_that_does_not_begin_after_the_step_before)
{
  CheckFixture f;
  for (const auto& it : { Task(0, 0), Task(0, 1) }) {
    f.Start(it);
    f.End(it);
  }
  f.Pass(IdleJobCheck::kIdleLimit + kPeriod, kRoom);
  cr_assert(f.HasViolation());
}

// Guards against a check that takes a step for due before the tasks that it comes after are done.
Test(IdleJobCheck, passes_over_a_job_without_a_task_whose_turn_has_come)
{
  CheckFixture f;
  const std::string waiting = "00000000000000bb";
  f.Start(Task(0, 0));
  f.mCheck.OnAccepted(waiting, { { 1, { 1 } }, { 1, { 0 } } }, f.mNow);
  f.Pass(kLong, kRoom);
  cr_assert_not(f.HasViolation());
}

// Guards against a check that counts the time without room, or adds up times with room.
Test(IdleJobCheck, passes_over_a_job_without_room)
{
  CheckFixture f;
  for (int i = 0; i < 20; ++i) {
    f.Pass(IdleJobCheck::kIdleLimit - kPeriod, IdleJobCheck::kRoomFactor);
    f.Pass(kPeriod, IdleJobCheck::kRoomFactor - 1);
  }
  cr_assert_not(f.HasViolation());
  f.Pass(IdleJobCheck::kIdleLimit + kPeriod, IdleJobCheck::kRoomFactor);
  cr_assert(f.HasViolation());
}

// Guards against a check that counts the time right after a change, or stays blind after it.
Test(IdleJobCheck, counts_from_the_calm_time_after_a_change)
{
  CheckFixture f;
  f.Pass(IdleJobCheck::kIdleLimit, kRoom);
  f.mCheck.OnDisruption(f.mNow);
  f.Pass(IdleJobCheck::kCalmTime + IdleJobCheck::kIdleLimit, kRoom);
  cr_assert_not(f.HasViolation());
  f.Pass(kPeriod, kRoom);
  cr_assert(f.HasViolation());
}

// Guards against a check that counts while a disruption goes on.
Test(IdleJobCheck, counts_from_the_calm_time_after_the_end_of_a_disruption)
{
  CheckFixture f;
  f.mCheck.SetDisrupted(true, f.mNow);
  f.Pass(kLong, kRoom);
  f.mCheck.SetDisrupted(false, f.mNow);
  f.Pass(IdleJobCheck::kCalmTime + IdleJobCheck::kIdleLimit, kRoom);
  cr_assert_not(f.HasViolation());
  f.Pass(kPeriod, kRoom);
  cr_assert(f.HasViolation());
}

// Guards against a task that stays counted as running after its worker is gone, or as done after
// the only record of its end is lost.
Test(IdleJobCheck, finds_a_job_whose_runs_were_lost_with_their_worker)
{
  CheckFixture f;
  f.Start(Task(0, 0));
  f.Start(Task(0, 1));
  f.End(Task(0, 1));
  f.Pass(kLong, kRoom);
  f.mLedger.OnWorkerGone(kWorker);
  cr_assert_eq(f.mLedger.RunsOf(kJob).mRunning, 0);
  cr_assert_eq(f.mLedger.RunsOf(kJob).mDone.at(0), 0);
  f.Pass(IdleJobCheck::kIdleLimit + kPeriod, kRoom);
  cr_assert(f.HasViolation());
}

// Guards against a check that waits for a task whose end a scheduler knows, as the worker listed it
// before it left, although it couldn't be acknowledged any more.
Test(IdleJobCheck, passes_over_a_job_whose_ends_were_listed_by_a_worker_that_left)
{
  CheckFixture f;
  for (const auto& it : { Task(0, 0), Task(0, 1), Task(1, 0) }) {
    f.Start(it);
    f.End(it);
    f.mLedger.OnDoneListed(it);
  }
  f.mLedger.OnWorkerGone(kWorker);
  f.Pass(kLong, kRoom);
  cr_assert_not(f.HasViolation());
}

// Guards against a check that waits for a task whose end a silent worker lists only after its lease
// has expired.
Test(IdleJobCheck, passes_over_a_job_whose_ends_were_listed_late)
{
  CheckFixture f;
  for (const auto& it : { Task(0, 0), Task(0, 1), Task(1, 0) }) {
    f.Start(it);
    f.End(it);
  }
  f.mLedger.OnLeaseExpired(kWorker);
  cr_assert_eq(f.mLedger.RunsOf(kJob).mDone.at(0), 0);
  for (const auto& it : { Task(0, 0), Task(0, 1), Task(1, 0) }) {
    f.mLedger.OnDoneListed(it);
  }
  f.Pass(kLong, kRoom);
  cr_assert_not(f.HasViolation());
}

// Guards against idle time that is made up from a pause of the stand-in itself.
Test(IdleJobCheck, counts_no_time_in_which_nothing_was_looked_at)
{
  CheckFixture f;
  f.mNow += kLong;
  f.mCheck.Look(f.mLedger, Room(kRoom), f.mNow);
  f.Pass(IdleJobCheck::kIdleLimit, kRoom);
  cr_assert_not(f.HasViolation());
}

// Guards against a check that takes room for one task of a gang for room for the gang, or asks for
// more than all its tasks twice over.
Test(IdleJobCheck, asks_for_room_for_a_whole_gang_twice_over)
{
  CheckFixture f;
  f.Start(Task(0, 0));
  f.mCheck.OnAccepted("gang", { { 3, {}, { {}, {}, Accelerators(2) }, true } }, f.mNow);
  FreeRoom room;
  for (int i = 0; i < 5; ++i) {
    // One task fits, and one accelerator remains.
    room.Add({ {}, {}, Accelerators(3) });
  }
  f.Pass(kLong, room);
  cr_assert_not(f.HasViolation());
  room.Add({ {}, {}, Accelerators(2) });
  f.Pass(IdleJobCheck::kIdleLimit + kPeriod, room);
  cr_assert_eq(f.mCheck.Violations().size(), 1);
  cr_assert(f.mCheck.Violations().front().starts_with("gang "));
}

// Guards against a check that looks at accelerators alone.
Test(IdleJobCheck, asks_for_room_by_demand)
{
  CheckFixture f;
  f.Start(Task(0, 0));
  f.mCheck.OnAccepted("step", { { 9, {}, { MilliCores(2000), MemoryMiB(500), {} } } }, f.mNow);
  FreeRoom room;
  room.Add({ MilliCores(9000), MemoryMiB(999), Accelerators(8) });
  room.Add({ MilliCores(1999), MemoryMiB(9000), Accelerators(8) });
  f.Pass(kLong, room);
  cr_assert_not(f.HasViolation());
  room.Add({ MilliCores(2000), MemoryMiB(500), {} });
  f.Pass(IdleJobCheck::kIdleLimit + kPeriod, room);
  cr_assert(f.HasViolation());
}

// Guards against a worker that has promised too much and takes room away from the others.
Test(FreeRoom, counts_no_negative_room)
{
  FreeRoom room;
  room.Add({ MilliCores(-500), {}, Accelerators(-3) });
  room.Add({ MilliCores(500), {}, Accelerators(3) });
  const Capacity demand{ {}, {}, Accelerators(1) };
  cr_assert(room.Fits(3, demand));
  cr_assert_not(room.Fits(4, demand));
}
