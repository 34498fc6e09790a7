#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagerock::placement {

// The declared and the actual run time of a job that succeeded.
struct RunTime
{
  // 0 if the caller declared none.
  Duration mDeclared{ 0 };
  Duration mRan{ 0 };

  bool operator==(const RunTime&) const = default;
};

// The latest run times of jobs of one account and size class, for quantiles.
class RunTimeSeries
{
public:
  // Enough for a 0.9 quantile that one outlier doesn't move, and few enough to follow an account
  // whose jobs change.
  static constexpr std::size_t kMaxSamples = 32;
  // A 0.9 quantile of fewer samples says little.
  static constexpr std::size_t kMinSamples = 8;

  void Add(const RunTime& aRunTime);
  // Returns a quantile of the total run time of a job that has run for aRan already, from the
  // samples that ran longer; nullopt if none did, or with fewer than kMinSamples samples.
  std::optional<Duration> Quantile(double aProbability, Duration aDeclared, Duration aRan) const;
  // Returns the samples from the oldest to the latest.
  const std::vector<RunTime>& RunTimes() const { return mRunTimes; }

private:
  static std::optional<double>
  QuantileOf(const std::vector<double>& aSorted, double aProbability, double aLowerBound);
  // Returns the ratio of the 0.9 quantile to the median; infinity with too few samples.
  static double Spread(const std::vector<double>& aSorted);

  std::vector<RunTime> mRunTimes;
  // Run times in seconds, and ratios of run time to declared run time, both sorted.
  std::vector<double> mTimes;
  std::vector<double> mRatios;
};

// The run times of jobs that succeeded, by account and size class. The run times that accounts
// declare are often far off, but their jobs of one size resemble each other.
class RunTimeHistory
{
public:
  // Bounds the memory at about 1 MiB. Enough for the number of accounts that the system is designed
  // for, with 5 size classes each.
  static constexpr std::size_t kMaxSeries = 1000;
  // Predictions and samples are clamped to this range, so that no sum of times overflows.
  static constexpr Duration kMinRunTime{ 1'000 };
  static constexpr Duration kMaxRunTime{ std::chrono::hours(24 * 30) };

  // Adds the run time of a job that succeeded. aSize is its total number of accelerators or slots,
  // whichever is larger.
  void Record(const AccountId& aAccount, std::int64_t aSize, const RunTime& aRunTime);
  std::optional<Duration>
  Quantile(const AccountId& aAccount, std::int64_t aSize, double aProbability, Duration aDeclared,
           Duration aRan = Duration(0)) const;
  // Returns nullptr if there is no series for the account and size class.
  const RunTimeSeries* Find(const AccountId& aAccount, std::int64_t aSize) const;
  // Returns the number of series.
  std::size_t Count() const { return mCount; }

private:
  // A size class contains the sizes from one power of two to the next; the last has no upper bound.
  static constexpr int kSizeClasses = 16;
  struct Entry
  {
    RunTimeSeries mSeries;
    std::uint64_t mLastUpdate = 0;
  };

  static int SizeClass(std::int64_t aSize);
  void EvictLeastRecentlyUpdated();

  std::unordered_map<AccountId, std::array<std::optional<Entry>, kSizeClasses>> mEntries;
  std::size_t mCount = 0;
  std::uint64_t mUpdates = 0;
};

} // namespace lovagerock::placement
