#include "bench/TraceGenerator.h"

#include "base/Random.h"

#include <algorithm>
#include <cmath>
#include <ostream>
#include <tuple>

namespace lovagerock::placement::replay {

namespace detail {
namespace {

// A class of similar jobs, and how many of them arrive on an ordinary and on a peak day. Times are
// in minutes.
struct JobClass
{
  const char* mName;
  const char* mAccount;
  int mDayJobs;
  int mPeakJobs;
  double mFirstArrival;
  double mLastArrival;
  int mTasks;
  int mAccelerators;
  const char* mAdjacency;
  // Run times are from 0.5 to 1.5 times this.
  double mMeanRunTime;
  double mCheckpointPeriod;
  bool mIsIdempotent;
};

constexpr JobClass kSaryarkaJobs[] = {
  { "battery", "battery", 4, 14, 60, 300, 8, 8, "rack", 150, 10, true },
  { "pack", "battery", 2, 6, 90, 360, 16, 8, "zone", 90, 0, true },
  { "scan", "screens", 200, 420, 0, 480, 1, 4, "region", 40, 0, true },
  { "panel", "screens", 20, 60, 0, 480, 2, 8, "rack", 45, 5, true },
  { "photo", "photos", 150, 250, 0, 540, 1, 1, "region", 6, 0, false },
  { "check", "intake", 40, 70, 0, 480, 1, 8, "worker", 30, 5, true },
};

constexpr JobClass kZarqaJobs[] = {
  { "scoring", "scoring", 4, 18, 45, 240, 8, 8, "rack", 90, 10, true },
  { "final", "scoring", 1, 4, 90, 240, 12, 8, "zone", 60, 0, true },
  { "video", "drills", 40, 130, 0, 360, 2, 8, "rack", 45, 5, true },
  { "clip", "drills", 100, 200, 0, 360, 1, 2, "region", 25, 0, true },
  { "theory", "theory", 250, 450, 0, 420, 1, 1, "region", 3, 0, true },
  { "issue", "certificates", 40, 80, 60, 420, 1, 2, "worker", 5, 0, false },
};

constexpr const char* kSaryarkaAccounts = R"(account battery 4
account screens 2
account photos 1
account intake 1
guarantee battery overnight 2 8 8 rack zone-0
guarantee screens scan-line 1 8 8 rack zone-1
guarantee photos enhance 8 1 4 worker
guarantee intake condition 5 1 8 worker
)";

constexpr const char* kZarqaAccounts = R"(account drills 2
account scoring 3
account theory 1
account certificates 1
guarantee drills video 2 4 8 rack zone-0
guarantee drills review 1 8 8 zone zone-1
guarantee scoring term-end 1 8 8 rack zone-2
guarantee scoring late 4 1 8 worker
guarantee theory marking 8 1 4 worker
guarantee certificates issue 2 1 8 worker
)";

// Returns the run time that a job declares: the real one, wrong by a factor of up to 2, or for one
// job in three of up to 8, in either direction.
double
DeclaredRunTime(double aRunTime, Random& aRandom)
{
  const double maxFactor = aRandom.Below(3) == 0 ? 8 : 2;
  return aRunTime * std::pow(maxFactor, 2 * aRandom.Fraction() - 1);
}

void
WriteJobs(const JobClass* aJobClasses, std::size_t aCount, bool aIsPeak, Random& aRandom,
          std::ostream& aOut)
{
  std::vector<std::pair<int, std::string>> lines;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto& jobClass = aJobClasses[i];
    const int jobs = aIsPeak ? jobClass.mPeakJobs : jobClass.mDayJobs;
    for (int n = 0; n < jobs; ++n) {
      const auto at = static_cast<int>(
        60 * (jobClass.mFirstArrival +
              (jobClass.mLastArrival - jobClass.mFirstArrival) * aRandom.Fraction()));
      const double runTime = 60 * jobClass.mMeanRunTime * (0.5 + aRandom.Fraction());
      const auto name = std::string(jobClass.mName) + "-" + std::to_string(n);
      std::string line = "job " + name + " " + std::to_string(at) + " " + jobClass.mAccount + " " +
                         std::to_string(jobClass.mTasks) + " " +
                         std::to_string(jobClass.mAccelerators) + " " + jobClass.mAdjacency + " " +
                         std::to_string(static_cast<int>(DeclaredRunTime(runTime, aRandom))) + " " +
                         std::to_string(static_cast<int>(runTime)) +
                         (jobClass.mIsIdempotent ? " idempotent " : " once ") +
                         std::to_string(static_cast<int>(60 * jobClass.mCheckpointPeriod)) + "\n";
      // One job in 50 is cancelled at some time after its submission.
      if (aRandom.Below(50) == 0) {
        line += "cancel " + name + " " +
                std::to_string(at + static_cast<int>(2 * runTime * aRandom.Fraction())) + "\n";
      }
      lines.emplace_back(at, std::move(line));
    }
    // A job that can never run: it needs 9 workers of one rack, and a rack has 8.
    if (jobClass.mTasks > 1) {
      const auto at = static_cast<int>(60 * jobClass.mFirstArrival);
      lines.emplace_back(at, "job impossible-" + std::string(jobClass.mName) + " " +
                               std::to_string(at) + " " + jobClass.mAccount +
                               " 9 8 rack 600 600 idempotent 0\n");
    }
  }
  std::ranges::stable_sort(lines, {}, [](const auto& aLine) { return aLine.first; });
  for (const auto& it : lines) {
    aOut << it.second;
  }
}

} // namespace
} // namespace detail

const std::vector<std::string>&
TraceKinds()
{
  static const std::vector<std::string> kKinds{ "saryarka-day", "saryarka-peak", "zarqa-day",
                                                "zarqa-peak" };
  return kKinds;
}

void
GenerateTrace(const std::string& aKind, std::uint64_t aSeed, std::ostream& aOut)
{
  Random random(aSeed);
  const bool isSaryarka = aKind.starts_with("saryarka");
  const bool isPeak = aKind.ends_with("peak");
  aOut << "# Generated with seed " << aSeed << ". The format is described in docs/placement.md.\n"
       << "trace " << aKind << "-" << aSeed << "\n"
       << (isSaryarka ? "weights 0.2 0.8\ncluster 50 8 8 3 130 256000\n"
                      : "weights 0.8 0.2\ncluster 50 8 8 3 64 128000\n")
       << (isSaryarka ? detail::kSaryarkaAccounts : detail::kZarqaAccounts);
  for (int i = 0; i < (isPeak ? 3 : 1); ++i) {
    aOut << "fault " << random.Below(50) << " " << 3600 + random.Below(14'400) << " "
         << 300 + random.Below(1500) << "\n";
  }
  if (isSaryarka) {
    detail::WriteJobs(detail::kSaryarkaJobs, std::size(detail::kSaryarkaJobs), isPeak, random,
                      aOut);
  } else {
    detail::WriteJobs(detail::kZarqaJobs, std::size(detail::kZarqaJobs), isPeak, random, aOut);
  }
}

} // namespace lovagerock::placement::replay
