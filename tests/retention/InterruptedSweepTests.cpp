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

// Done jobs with ids like real ones, each second one expired, and answers of two pieces.
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
      mFixture.PutJob(record, jobs::JobState::Finished, 1, i % 2 == 0 ? kNow : kNow - 8 * kDay);
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

// Guards against a listing that exceeds its limit and is never made, and pages that leave keys out.
Test(InterruptedSweep, divides_names_into_pages_within_the_limit)
{
  ManyJobs many(600);
  auto& fixture = many.mFixture;
  const auto report = fixture.RunOnce();
  cr_assert_eq(report.mReason, std::string("complete"));
  cr_assert_eq(report.mJobs, 300);
  cr_assert_eq(fixture.Keys(), many.mKept);
  // The sample told the size of the pages.
  cr_assert_leq(fixture.mStore.mTooLarge, 16);
}

// Guards against two planners at once that delete what is still referred to, or never end.
Test(InterruptedSweep, two_sweepers_do_no_harm)
{
  ManyJobs many(200);
  auto& fixture = many.mFixture;
  Sweeper<ObservedStore> other(fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"),
                               fixture.mSettings, [&] { return fixture.mNow; });
  fixture.mSweeper.Start();
  other.Start();
  fixture.Until([&] { return fixture.mSweeper.LastReport() && other.LastReport(); });
  cr_assert_eq(fixture.Keys(), many.mKept);
}

// Guards against a loss by any order of lost roles, restarts, outages, lost answers and records
// that are written while a run is under way; and against expired jobs that are never deleted after
// it.
Test(InterruptedSweep, loses_nothing_that_is_referred_to)
{
  const auto seed = Random::SystemSeed();
  cr_log_warn("seed %llu", static_cast<unsigned long long>(seed));
  Random random(seed);
  ManyJobs many(300);
  auto& fixture = many.mFixture;
  std::set<std::string> revived;
  const auto revive = [&](const std::string& aJob) {
    // What an earlier transaction has deleted is gone; each delete here has a job of its own.
    const auto& deletes = fixture.mStore.mDeletes;
    const auto record = "done/r/" + aJob;
    if (std::find(deletes.begin(), deletes.end(), record) == deletes.end()) {
      fixture.PutJob(random.Below(2) == 0 ? record : "jobs/r/" + aJob, jobs::JobState::Finished, 1,
                     fixture.mNow);
      revived.insert(aJob);
    }
  };
  auto sweeper = std::make_unique<Sweeper<ObservedStore>>(
    fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"), fixture.mSettings,
    [&] { return fixture.mNow; });
  std::vector<Timer> timers;
  const auto restart = [&](bool aAnew) {
    sweeper->Stop();
    if (aAnew) {
      sweeper = std::make_unique<Sweeper<ObservedStore>>(
        fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"), fixture.mSettings,
        [&] { return fixture.mNow; });
    }
    sweeper->Start();
  };
  int restarts = 0;
  fixture.mStore.mBeforeTransact = [&](const std::vector<kv::Operation>& aOperations) {
    switch (random.Below(12)) {
      case 0: {
        const auto& key = aOperations.back().mKey;
        revive(key.substr(key.rfind('/') + 1));
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
          timers.push_back(
            fixture.mLoop.After(Duration(0), [&, anew = random.Below(2) == 0] { restart(anew); }));
        }
        break;
      default:
        break;
    }
  };
  sweeper->Start();
  fixture.Until(
    [&] { return sweeper->LastReport() && sweeper->LastReport()->mReason == "complete"; });
  sweeper->Stop();
  timers.clear();
  const auto keys = fixture.Keys();
  for (const auto& it : revived) {
    cr_assert(keys.contains("answers/" + it + "/1.0/0"), "seed %llu: %s",
              static_cast<unsigned long long>(seed), it.c_str());
  }
  cr_assert(std::includes(keys.begin(), keys.end(), many.mKept.begin(), many.mKept.end()));
  for (std::size_t i = 1; i < many.mJobs.size(); i += 2) {
    cr_assert(revived.contains(many.mJobs[i]) || !keys.contains("done/r/" + many.mJobs[i]));
  }
}
