#include "base/Random.h"
#include "placement/ClusterFake.h"
#include "placement/GuaranteeAssigner.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <iterator>

using namespace lovagerock;
using namespace lovagerock::placement;
using lovagerock::placement::tests::ClusterFake;
using lovagerock::placement::tests::RackGuarantee;

namespace {

void
RandomStep(ClusterFake& aFake, Random& aRandom)
{
  static const Adjacency kLevels[] = { Adjacency::Worker, Adjacency::Rack, Adjacency::Zone,
                                       Adjacency::Region };
  for (auto n = aRandom.Below(6); n > 0; --n) {
    const auto level = kLevels[aRandom.Below(4)];
    const int most = level == Adjacency::Worker ? 2 : 6;
    auto& job = aFake.Submit("a" + std::to_string(aRandom.Below(4)),
                             1 + static_cast<int>(aRandom.Below(most)),
                             static_cast<int>(aRandom.Below(9)), level);
    job.mIdempotent = aRandom.Below(4) != 0;
    job.mUrgent = aRandom.Below(8) == 0;
    job.mEstimate = std::chrono::seconds(aRandom.Below(600));
  }
  for (auto n = aRandom.Below(4); n > 0 && !aFake.mRunning.empty(); --n) {
    aFake.Finish(std::next(aFake.mRunning.begin(),
                           static_cast<std::ptrdiff_t>(aRandom.Below(aFake.mRunning.size())))
                   ->first);
  }
  aFake.mSnapshot.mNow += std::chrono::seconds(aRandom.Below(300));
  aFake.Step();
}

} // namespace

// Guards against borrowed work that keeps an account from its guarantee: whatever runs, a job of
// the guaranteed shape must run after two plans, the first of which may reclaim. All jobs of the
// account are finished or withdrawn before.
Test(Invariants, guarantees_hold_on_random_clusters, .timeout = 300)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    Random random(seed);
    const int workers = 16 + 8 * static_cast<int>(random.Below(4));
    ClusterFake fake(workers);
    fake.AddAccount("a0", { RackGuarantee(3 + static_cast<int>(random.Below(5))) });
    fake.AddAccount("a1", { { "one", 2, 1, Accelerators(4), Adjacency::Worker, std::nullopt } });
    fake.AddAccount("a2");
    fake.AddAccount("a3").mWeight = 3;
    fake.mSnapshot.mServices.push_back(
      { ServiceId("s"), AccountId("a3"), 6, Accelerators(1), random.Below(2) == 0 });
    cr_assert_not(
      FindUnpackableGuarantee(fake.mSnapshot.mWorkers, fake.mSnapshot.mAccounts).has_value());
    for (int i = 0; i < 40; ++i) {
      RandomStep(fake, random);
    }
    for (const auto& account : { 0, 1 }) {
      const auto name = "a" + std::to_string(account);
      std::erase_if(fake.mSnapshot.mJobs,
                    [&](const auto& aJob) { return aJob.mAccount == AccountId(name); });
      std::vector<JobId> own;
      for (const auto& [id, job] : fake.mRunning) {
        if (job.mAccount == AccountId(name)) {
          own.push_back(id);
        }
      }
      std::ranges::for_each(own, [&](const auto& aJob) { fake.Finish(aJob); });
      const auto shape = fake.mSnapshot.mAccounts[account].mGuarantees[0];
      const auto job =
        fake
          .Submit(name, shape.mWorkers, static_cast<int>(shape.mAcceleratorsPerWorker.Value()),
                  shape.mAdjacency)
          .mJob;
      fake.Step();
      fake.Step();
      cr_assert(fake.Runs(job), "seed %llu: %s", static_cast<unsigned long long>(seed),
                name.c_str());
      cr_assert_eq(fake.mClass[job], CapacityClass::Guaranteed);
    }
  }
}

// Guards against plans that depend on memory addresses or on the order of hash tables.
Test(Invariants, same_input_gives_the_same_plan)
{
  ClusterFake fake(32);
  fake.AddAccount("a0", { RackGuarantee(6) });
  for (int i = 1; i < 4; ++i) {
    fake.AddAccount("a" + std::to_string(i));
  }
  Random random(5);
  for (int i = 0; i < 20; ++i) {
    RandomStep(fake, random);
    auto left = fake.mState;
    auto right = fake.mState;
    const auto one = ComputePlan(fake.mSnapshot, left);
    const auto copy = fake.mSnapshot;
    const auto two = ComputePlan(copy, right);
    cr_assert_eq(one.mStarts.size(), two.mStarts.size());
    for (std::size_t k = 0; k < one.mStarts.size(); ++k) {
      cr_assert(one.mStarts[k].mWorkers == two.mStarts[k].mWorkers);
    }
    cr_assert_eq(one.mReclaims.size(), two.mReclaims.size());
  }
}
