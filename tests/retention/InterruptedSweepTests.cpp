#include "RetentionFixture.h"
#include "base/Hash.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::retention;

namespace {

// Done jobs with hash-like ids as in production. Every second one is expired; each has two answer
// pieces.
struct ManyJobs
{
  Fixture mFixture{ Duration(0), Bytes(4096) };
  std::set<std::string> mKept;
  std::vector<std::string> mJobs;

  explicit ManyJobs(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const auto job = "j-" + Sha256Hex(std::to_string(i)).substr(0, 32);
      mJobs.push_back(job);
      const auto record = "done/r/" + job;
      mFixture.PutJob(record, jobs::JobState::Finished, 1,
                      i % 2 == 0 ? kNowMs : kNowMs - 8 * kDayMs);
      for (const auto* it : { "/1.0/0", "/1.1/0" }) {
        mFixture.Put("answers/" + job + it, "x");
      }
      if (i % 2 == 0) {
        mKept.insert({ record, "answers/" + job + "/1.0/0", "answers/" + job + "/1.1/0" });
      }
    }
  }
};

} // namespace

// Guards against listings that exceed the size limit and never succeed, and against pages that
// leave out keys.
Test(InterruptedSweep, divides_names_into_pages_within_the_limit)
{
  ManyJobs many(600);
  auto& fixture = many.mFixture;
  const auto report = fixture.RunOnce();
  cr_assert_eq(report.mReason, std::string("complete"));
  cr_assert_eq(report.mJobs, 300);
  cr_assert_eq(fixture.Keys(), many.mKept);
  // The size of the sample page decides on the number of pages, so that few listings are too large.
  cr_assert_leq(fixture.mStore.mTooLargeCount, 16);
}

// Guards against two planners that sweep at the same time and delete unexpired keys, or never end.
Test(InterruptedSweep, two_concurrent_sweepers_keep_unexpired_jobs)
{
  ManyJobs many(200);
  auto& fixture = many.mFixture;
  Sweeper<ObservedStore> other(fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"),
                               fixture.mSettings, [&] { return fixture.mNowMs; });
  fixture.mSweeper.Start();
  other.Start();
  fixture.RunUntil([&] { return fixture.mSweeper.LastReport() && other.LastReport(); });
  cr_assert_eq(fixture.Keys(), many.mKept);
}

namespace {

void
SweepInterrupted(std::uint64_t aSeed)
{
  std::printf("seed %llu\n", static_cast<unsigned long long>(aSeed));
  Random random(aSeed);
  ManyJobs many(300);
  auto& fixture = many.mFixture;
  std::set<std::string> rewritten;
  const auto rewriteRecord = [&](const std::string& aJob) {
    // Leaves out jobs whose record an earlier transaction was to delete: their pieces may be gone
    // too, because each transaction of this test deletes a whole job.
    const auto& deletes = fixture.mStore.mDeletes;
    const auto record = "done/r/" + aJob;
    if (std::find(deletes.begin(), deletes.end(), record) == deletes.end()) {
      fixture.PutJob(random.Below(2) == 0 ? record : "jobs/r/" + aJob, jobs::JobState::Finished, 1,
                     fixture.mNowMs);
      rewritten.insert(aJob);
    }
  };
  auto sweeper = std::make_unique<Sweeper<ObservedStore>>(
    fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"), fixture.mSettings,
    [&] { return fixture.mNowMs; });
  std::vector<Timer> timers;
  const auto restart = [&](bool aRecreate) {
    sweeper->Stop();
    if (aRecreate) {
      sweeper = std::make_unique<Sweeper<ObservedStore>>(
        fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"), fixture.mSettings,
        [&] { return fixture.mNowMs; });
    }
    sweeper->Start();
  };
  int restarts = 0;
  fixture.mStore.mBeforeTransact = [&](const std::vector<kv::Operation>& aOperations) {
    switch (random.Below(12)) {
      case 0: {
        const auto& key = aOperations.back().mKey;
        rewriteRecord(key.substr(key.rfind('/') + 1));
        break;
      }
      case 1:
        fixture.mStore.mMemory.LoseAnswers(1);
        break;
      case 2:
        fixture.mStore.mMemory.SetAvailable(false);
        timers.push_back(
          fixture.mLoop.After(Duration(4), [&] { fixture.mStore.mMemory.SetAvailable(true); }));
        break;
      case 3:
        if (++restarts < 20) {
          timers.push_back(fixture.mLoop.After(
            Duration(0), [&, recreate = random.Below(2) == 0] { restart(recreate); }));
        }
        break;
      default:
        break;
    }
  };
  sweeper->Start();
  fixture.RunUntil([&] {
    const auto report = sweeper->LastReport();
    // A run ends after six consecutive failures, and the next one would start only an hour later.
    if (report && report->mReason != "complete" && report->mReason != "stopped") {
      restart(true);
    }
    return report && report->mReason == "complete";
  });
  sweeper->Stop();
  timers.clear();
  const auto keys = fixture.Keys();
  for (const auto& it : rewritten) {
    cr_assert(keys.contains("answers/" + it + "/1.0/0"), "seed %llu: %s",
              static_cast<unsigned long long>(aSeed), it.c_str());
  }
  cr_assert(std::includes(keys.begin(), keys.end(), many.mKept.begin(), many.mKept.end()));
  for (std::size_t i = 1; i < many.mJobs.size(); i += 2) {
    cr_assert(rewritten.contains(many.mJobs[i]) || !keys.contains("done/r/" + many.mJobs[i]));
  }
}

} // namespace

// Guards against the loss of referenced keys when role losses, restarts, outages, lost responses
// and record writes interrupt a run in any order, and against expired jobs that are never deleted
// after such an interruption.
Test(InterruptedSweep, keeps_referenced_keys_despite_interruptions_and_failures)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SweepInterrupted(seed);
  }
}
