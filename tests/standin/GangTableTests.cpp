#include "standin/platform/GangTable.h"

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <string>

using namespace lovagerock;
using namespace lovagerock::standin;
using namespace std::chrono_literals;

namespace {

constexpr int kRun = 1;

// A table and the ends of the members by worker. Members are told to the table as ended, as workers
// do.
struct GangFixture
{
  void Join(int aIndex, const std::string& aWorker, const std::string& aRack = "r",
            Duration aTime = 20ms)
  {
    const auto end = [this, task = Task(aIndex), aWorker](const char* aHow) {
      mEnds[aWorker] = aHow;
      mGangs.OnEnd(task, kRun, aWorker);
    };
    mGangs.Join(mStep, aTime, { Task(aIndex), kRun, aWorker, aRack, end });
  }

  // Lets time pass until the members have ended.
  void AwaitEnds(std::size_t aCount)
  {
    const auto limit = mLoop.After(30s, [this] { mLoop.Stop(); });
    const auto check = mLoop.Every(Duration(5), [this, aCount] {
      if (mEnds.size() >= aCount) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
    cr_assert_eq(mEnds.size(), aCount);
  }

  std::string Task(int aIndex) const { return mJob + ".0.0." + std::to_string(aIndex); }

  // Whether one of two members has ended for want of others, and the other one with it. Members
  // that arrive together may end in any order.
  bool OneWasAlone() const
  {
    return mEnds == Ends{ { "a", "alone" }, { "b", "broken" } } ||
           mEnds == Ends{ { "a", "broken" }, { "b", "alone" } };
  }

  using Ends = std::map<std::string, std::string>;

  EventLoop mLoop;
  GangTable mGangs{ mLoop };
  std::string mJob = "00000000000000aa";
  JobStep mStep{ 2, {}, {}, true, true };
  Ends mEnds;
};

} // namespace

// Guards against members that end apart, or before all of them are there.
Test(GangTable, ends_members_together_once_their_time_is_over)
{
  GangFixture f;
  f.Join(0, "a");
  f.Join(1, "b");
  cr_assert(f.mEnds.empty());
  f.AwaitEnds(2);
  cr_assert((f.mEnds == GangFixture::Ends{ { "a", "done" }, { "b", "done" } }));
}

// Guards against an incomplete gang that keeps its workers for ever, or is told as done.
Test(GangTable, ends_a_member_that_waits_too_long_for_the_others)
{
  GangFixture f;
  f.mStep.mTasks = 3;
  // A timer of the same loop, since its clock may be a few milliseconds behind the steady one.
  bool wereWaiting = false;
  const auto shortlyBefore =
    f.mLoop.After(GangTable::kTimeout - Duration(1), [&] { wereWaiting = f.mEnds.empty(); });
  f.Join(0, "a");
  f.Join(1, "b");
  f.AwaitEnds(2);
  cr_assert(f.OneWasAlone());
  cr_assert(wereWaiting, "the members ended too early");
}

// Guards against members of which two runs on the same task count as two tasks.
Test(GangTable, waits_for_each_task_once)
{
  GangFixture f;
  f.Join(0, "a");
  f.Join(0, "b");
  f.AwaitEnds(2);
  cr_assert(f.OneWasAlone());
}

// Guards against members that work on after another one has ended, or whose worker is gone.
Test(GangTable, breaks_a_gang_whose_member_is_gone)
{
  GangFixture f;
  f.Join(0, "a", "r", 60s);
  f.Join(1, "b", "r", 60s);
  f.mGangs.OnEnd(f.Task(0), kRun, "a");
  cr_assert((f.mEnds == GangFixture::Ends{ { "b", "broken" } }));
  f.mEnds.clear();
  f.Join(0, "c", "r", 60s);
  f.Join(1, "d", "r", 60s);
  f.mGangs.OnWorkerGone("d");
  cr_assert((f.mEnds == GangFixture::Ends{ { "c", "broken" } }));
}

// Guards against a preference for one rack that costs nothing to ignore, or a cost for gangs in one
// rack or without a preference.
Test(GangTable, takes_longer_in_several_racks_if_one_is_preferred)
{
  GangFixture f;
  const auto begin = [&f](const std::string& aName, const std::string& aSecondRack,
                          bool aPrefersOneRack, Duration aTime) {
    f.mJob = aName;
    f.mStep.mPrefersOneRack = aPrefersOneRack;
    f.Join(0, aName + "-0", "r", aTime);
    f.Join(1, aName + "-1", aSecondRack, aTime);
  };
  begin("spread", "s", true, 200ms);
  begin("one-rack", "r", true, 400ms);
  begin("indifferent", "s", false, 400ms);
  f.AwaitEnds(4);
  cr_assert_not(f.mEnds.contains("spread-0"));
  f.AwaitEnds(6);
}
