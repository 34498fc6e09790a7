// Measures CPU time and memory of ComputePlan() for several cluster sizes, and compares its job
// completion times and fragmentation on recorded and generated traces with those of a
// first-come-first-served first-fit baseline.

#include "base/Random.h"
#include "placement/Planner.h"
#include "placement/TraceReplay.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <sys/resource.h>

using namespace lovagerock;
using namespace lovagerock::placement;

namespace {

struct ClusterSize
{
  const char* mName;
  int mWorkers;
  int mTasks;
  int mAccounts;
  int mJobs;
  int mLargestGang;
};

constexpr int kRepeats = 20;

double
CpuMilliseconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

long
PeakRssKiB()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

// Generates a cluster with running tasks and waiting jobs. In clusters of more than 50 workers, one
// worker in 29 has 8 accelerators and the others have 1, which gives about 5,700 in the design size
// of 4,600 workers; smaller clusters have 8 on each worker.
ClusterSnapshot
MakeSnapshot(const ClusterSize& aClusterSize, Random& aRandom)
{
  ClusterSnapshot snapshot;
  snapshot.mNow = TimePoint(std::chrono::hours(24));
  const bool isSmall = aClusterSize.mWorkers <= 50;
  for (int i = 0; i < aClusterSize.mWorkers; ++i) {
    const int accelerators = isSmall || i % 29 == 0 ? 8 : 1;
    const int zone = i * 6 / aClusterSize.mWorkers;
    snapshot.mWorkers.push_back(
      { WorkerId("worker-" + std::to_string(i)),
        RegionId("region-" + std::to_string(zone / 3)),
        ZoneId("zone-" + std::to_string(zone)),
        RackId("rack-" + std::to_string(i / 8)),
        { Slots(8), Accelerators(accelerators), Cores(64), MemoryMiB(128'000) },
        WorkerHealth::Live,
        {} });
  }
  for (int i = 0; i < aClusterSize.mAccounts; ++i) {
    const int count = isSmall ? 1 : 8;
    snapshot.mAccounts.push_back(
      { AccountId("account-" + std::to_string(i)),
        1.0 + static_cast<double>(aRandom.Below(3)),
        {},
        { { "shape", 1, count, Accelerators(1), isSmall ? Adjacency::Worker : Adjacency::Zone,
            std::nullopt } } });
  }
  std::vector<int> slots(aClusterSize.mWorkers, 8);
  std::vector<int> accelerators;
  for (const auto& it : snapshot.mWorkers) {
    accelerators.push_back(static_cast<int>(it.mCapacity.mAccelerators.Value()));
  }
  for (int i = 0; i < aClusterSize.mTasks; ++i) {
    const auto worker = aRandom.Below(aClusterSize.mWorkers);
    if (slots[worker] == 0) {
      continue;
    }
    --slots[worker];
    const int wanted = accelerators[worker] > 0 ? 1 : 0;
    accelerators[worker] -= wanted;
    LeaseView lease;
    lease.mLease = LeaseId("lease-" + std::to_string(i));
    lease.mJob = JobId("running-" + std::to_string(i / 4));
    lease.mAccount =
      snapshot.mAccounts[static_cast<std::size_t>(i / 4 % aClusterSize.mAccounts)].mAccount;
    lease.mResources = { Slots(1), Accelerators(wanted), Cores(4), MemoryMiB(8000) };
    lease.mStarted = snapshot.mNow - std::chrono::minutes(aRandom.Below(300));
    lease.mEstimate = std::chrono::minutes(aRandom.Below(400));
    snapshot.mWorkers[worker].mLeases.push_back(lease);
  }
  for (int i = 0; i < aClusterSize.mJobs; ++i) {
    PendingJob job;
    job.mJob = JobId("job-" + std::to_string(i));
    job.mAccount = snapshot.mAccounts[aRandom.Below(snapshot.mAccounts.size())].mAccount;
    const int scale = static_cast<int>(aRandom.Below(10));
    job.mTasks = std::min(1 << scale, aClusterSize.mLargestGang);
    job.mResourcesPerTask = { Slots(1), Accelerators(aRandom.Below(2)),
                              Cores(1 + static_cast<int>(aRandom.Below(8))), MemoryMiB(4000) };
    job.mAdjacency = job.mTasks <= 4 ? Adjacency::Rack : Adjacency::Region;
    job.mUrgent = aRandom.Below(50) == 0;
    job.mIdempotent = aRandom.Below(5) != 0;
    job.mEstimate = std::chrono::minutes(aRandom.Below(400));
    job.mSubmitted = snapshot.mNow - std::chrono::minutes(aRandom.Below(600));
    snapshot.mJobs.push_back(job);
  }
  return snapshot;
}

double
MeasurePlanTime(const ClusterSize& aClusterSize, std::uint64_t aSeed)
{
  Random random(aSeed);
  const auto snapshot = MakeSnapshot(aClusterSize, random);
  PlannerState state;
  const double firstBefore = CpuMilliseconds();
  auto plan = ComputePlan(snapshot, state);
  const double first = CpuMilliseconds() - firstBefore;
  std::vector<double> times;
  for (int i = 0; i < kRepeats; ++i) {
    const double before = CpuMilliseconds();
    plan = ComputePlan(snapshot, state);
    times.push_back(CpuMilliseconds() - before);
  }
  std::ranges::sort(times);
  std::printf("%-8s workers=%d tasks=%d accounts=%d jobs=%d first_ms=%.2f median_ms=%.2f "
              "max_ms=%.2f starts=%zu reclaims=%zu waiting=%zu peak_rss_kib=%ld\n",
              aClusterSize.mName, aClusterSize.mWorkers, aClusterSize.mTasks,
              aClusterSize.mAccounts, aClusterSize.mJobs, first, times[kRepeats / 2], times.back(),
              plan.mStarts.size(), plan.mReclaims.size(), plan.mWaiting.size(), PeakRssKiB());
  return times[kRepeats / 2];
}

// First-come-first-served first fit: starts jobs strictly in order of arrival, and the first one
// that doesn't fit blocks all later ones.
Plan
FirstFit(const ClusterSnapshot& aSnapshot)
{
  Plan plan;
  std::map<WorkerId, Resources> free;
  for (const auto& worker : aSnapshot.mWorkers) {
    free[worker.mWorker] = worker.mCapacity;
    for (const auto& it : worker.mLeases) {
      free[worker.mWorker] -= it.mResources;
    }
  }
  for (const auto& job : aSnapshot.mJobs) {
    std::vector<WorkerId> chosen;
    std::map<std::string, std::vector<WorkerId>> domains;
    for (const auto& worker : aSnapshot.mWorkers) {
      const auto key = job.mAdjacency == Adjacency::Worker ? worker.mWorker.Value()
                       : job.mAdjacency == Adjacency::Rack ? worker.mRack.Value()
                                                           : worker.mRegion.Value();
      auto left = free[worker.mWorker];
      auto& places = domains[key];
      while (static_cast<int>(places.size()) < job.mTasks && job.mResourcesPerTask.FitsInto(left)) {
        left -= job.mResourcesPerTask;
        places.push_back(worker.mWorker);
      }
    }
    for (const auto& it : domains) {
      if (chosen.empty() && static_cast<int>(it.second.size()) == job.mTasks) {
        chosen = it.second;
      }
    }
    if (chosen.empty()) {
      break;
    }
    for (const auto& it : chosen) {
      free[it] -= job.mResourcesPerTask;
    }
    plan.mStarts.push_back({ job.mJob, job.mAccount, chosen, CapacityClass::Borrowed, true });
  }
  std::map<RackId, std::pair<double, double>> racks;
  for (const auto& it : aSnapshot.mWorkers) {
    racks[it.mRack].first += static_cast<double>(free[it.mWorker].mAccelerators.Value());
    racks[it.mRack].second += static_cast<double>(it.mCapacity.mAccelerators.Value());
  }
  double all = 0;
  double fragmented = 0;
  for (const auto& it : racks) {
    all += it.second.first;
    fragmented += it.second.first * (1 - it.second.first / it.second.second);
  }
  plan.mFragmentation = all > 0 ? fragmented / all : 0;
  return plan;
}

void
PrintResult(const char* aPolicy, const std::string& aTrace, const tests::TraceResult& aResult)
{
  double all = 0;
  double large = 0;
  int largeCount = 0;
  int unfinished = 0;
  for (const auto& it : aResult.mJobs) {
    const double time = (it.second.mEnded < 0 ? 1440 : it.second.mEnded) - it.second.mArrived;
    unfinished += it.second.mEnded < 0 ? 1 : 0;
    all += time;
    if (it.second.mTasks > 2) {
      large += time;
      ++largeCount;
    }
  }
  std::printf("%-14s %-12s mean_completion_min=%.1f large_gang_completion_min=%.1f unfinished=%d "
              "mean_fragmentation=%.3f\n",
              aTrace.c_str(), aPolicy, all / static_cast<double>(aResult.mJobs.size()),
              large / std::max(largeCount, 1), unfinished, aResult.mMeanFragmentation);
}

// Generates 6 bursts, each of 100 small jobs and one gang. Declared run times are from a fifth to 5
// times the real ones.
std::vector<tests::TraceJob>
MakeBursts(std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<tests::TraceJob> jobs;
  const auto add = [&](const char* aAccount, int aAt, int aTasks, int aAccelerators, int aMinutes) {
    tests::TraceJob job;
    job.mArrives = aAt;
    job.mMinutes = aMinutes;
    job.mPending.mJob = JobId(aAccount + std::to_string(jobs.size()));
    job.mPending.mAccount = AccountId(aAccount);
    job.mPending.mTasks = aTasks;
    job.mPending.mResourcesPerTask = { Slots(1), Accelerators(aAccelerators), Cores(1),
                                       MemoryMiB(100) };
    job.mPending.mAdjacency = aTasks > 1 ? Adjacency::Rack : Adjacency::Region;
    const double factor = std::pow(5, 2 * random.Fraction() - 1);
    job.mPending.mEstimate = Duration(static_cast<std::int64_t>(aMinutes * 60'000 * factor));
    job.mPending.mSubmitted = TimePoint(std::chrono::minutes(aAt));
    jobs.push_back(job);
  };
  for (int burst = 0; burst < 6; ++burst) {
    const int at = burst * 90;
    for (int i = 0; i < 100; ++i) {
      add("small", at + static_cast<int>(random.Below(15)), 1,
          1 + static_cast<int>(random.Below(4)), 5 + static_cast<int>(random.Below(30)));
    }
    add("large", at + static_cast<int>(random.Below(30)), 4 + static_cast<int>(random.Below(5)), 8,
        30 + static_cast<int>(random.Below(60)));
  }
  std::ranges::stable_sort(jobs, {}, &tests::TraceJob::mArrives);
  return jobs;
}

// Returns accounts with the guarantees of the example configurations, reduced to the 16 workers of
// the traces.
std::vector<AccountView>
GuaranteesOf(const std::string& aName)
{
  const auto account = [](const char* aAccount, Guarantee aGuarantee) {
    return AccountView{ AccountId(aAccount), 1, {}, { std::move(aGuarantee) } };
  };
  if (aName == "overnight.txt") {
    return {
      account("battery", { "overnight", 1, 8, Accelerators(8), Adjacency::Rack, std::nullopt }),
      account("intake", { "condition", 2, 1, Accelerators(8), Adjacency::Worker, std::nullopt })
    };
  }
  return { account("scoring", { "term-end", 1, 8, Accelerators(8), Adjacency::Rack, std::nullopt }),
           account("drills", { "video", 1, 4, Accelerators(8), Adjacency::Rack, std::nullopt }),
           account("theory",
                   { "marking", 2, 1, Accelerators(4), Adjacency::Worker, std::nullopt }) };
}

void
CompareWeights(const std::string& aName, const std::vector<tests::TraceJob>& aTrace,
               const std::vector<AccountView>& aAccounts)
{
  for (const double completion : { 0.9, 0.5, 0.1 }) {
    PlannerState state;
    const auto policy = [&](ClusterSnapshot aSnapshot) {
      aSnapshot.mWeights = { completion, 1 - completion };
      return ComputePlan(aSnapshot, state);
    };
    char label[32];
    std::snprintf(label, sizeof label, "%s %.1f/%.1f", aAccounts.empty() ? "ours" : "guar",
                  completion, 1 - completion);
    PrintResult(label, aName, tests::Replay(aTrace, policy, 1440, aAccounts));
  }
}

// Prints the results of the first-fit baseline and of the planner, whose weights range from
// completion-heavy to fragmentation-heavy, for recorded traces also with guarantees. The lower
// bounds assume that each job starts when it arrives, and that the work always uses all
// accelerators.
void
ComparePolicies(const std::string& aName, const std::vector<tests::TraceJob>& aTrace)
{
  const auto first = tests::Replay(aTrace, FirstFit, 1440);
  double all = 0;
  double large = 0;
  double work = 0;
  int count = 0;
  for (const auto& it : first.mJobs) {
    all += it.second.mMinutes;
    work += it.second.mWork;
    if (it.second.mTasks > 2) {
      large += it.second.mMinutes;
      ++count;
    }
  }
  std::printf("%-14s %-12s mean_completion_min=%.1f large_gang_completion_min=%.1f "
              "all_work_min=%.1f\n",
              aName.c_str(), "lower-bound", all / static_cast<double>(first.mJobs.size()),
              large / std::max(count, 1), work / 128);
  PrintResult("first-fit", aName, first);
  CompareWeights(aName, aTrace, {});
  if (aName.ends_with(".txt")) {
    CompareWeights(aName, aTrace, GuaranteesOf(aName));
  }
}

} // namespace

int
main()
{
  constexpr std::uint64_t kSeed = 1;
  std::printf("seed %llu, %d plans per size, CPU time\n", static_cast<unsigned long long>(kSeed),
              kRepeats);
  const ClusterSize sizes[] = { { "today", 50, 300, 4, 50, 16 },
                                { "quarter", 1150, 5500, 50, 250, 128 },
                                { "half", 2300, 11'000, 100, 500, 256 },
                                { "design", 4600, 22'000, 200, 1000, 512 } };
  std::vector<double> times;
  for (const auto& it : sizes) {
    times.push_back(MeasurePlanTime(it, kSeed));
  }
  std::printf("slope quarter_to_half=%.2f half_to_design=%.2f (1 is linear in the size)\n",
              std::log2(times[2] / times[1]), std::log2(times[3] / times[2]));
  std::printf("share of a core at 6 plans a minute, design size: %.3f%%\n",
              times[3] * 6 / 60'000 * 100);
  for (const std::string name : { "overnight.txt", "term-end.txt" }) {
    ComparePolicies(name, tests::ReadTrace(std::string(TRACE_DIRECTORY) + "/" + name));
  }
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    ComparePolicies("burst-seed-" + std::to_string(seed), MakeBursts(seed));
  }
  return 0;
}
