#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagerock::placement {

// The declared and the true run time of a job that ended well.
struct RunTime
{
  // 0 if the caller declared none.
  Duration mDeclared{ 0 };
  Duration mRan{ 0 };

  bool operator==(const RunTime&) const = default;
};

// The last run times of one kind of job, in order, for quantiles.
class RunTimeSeries
{
public:
  // Enough for a quantile of 0.9 that one outlier doesn't move, and recent enough to follow an
  // account whose jobs change.
  static constexpr std::size_t kLength = 32;
  // With fewer, a quantile of 0.9 says little.
  static constexpr std::size_t kFewest = 8;

  void Add(const RunTime& aRunTime);
  // The whole run time of a job that has run for some time already: the quantile of the times of
  // those that ran longer. Nothing if none did, or with too few samples.
  std::optional<Duration> Quantile(double aPart, Duration aDeclared, Duration aRan) const;
  // From the oldest to the latest.
  const std::vector<RunTime>& RunTimes() const { return mRunTimes; }

private:
  static std::optional<double>
  QuantileOf(const std::vector<double>& aSorted, double aPart, double aMoreThan);
  static double Spread(const std::vector<double>& aSorted);

  std::vector<RunTime> mRunTimes;
  // Run times in seconds and run times over declared ones, sorted.
  std::vector<double> mTimes;
  std::vector<double> mRatios;
};

// The run times of finished jobs, by account and size. Accounts declare run times that are often
// far off, but their jobs of one size resemble each other.
class RunTimeHistory
{
public:
  // Bounds the memory at about 1 MiB: the accounts of the design size with 5 sizes of jobs each.
  static constexpr std::size_t kMostSeries = 1000;
  // Predictions and samples are cut to this range, so that no sum of times overflows.
  static constexpr Duration kShortest{ 1'000 };
  static constexpr Duration kLongest{ std::chrono::hours(24 * 30) };

  // A job of this many accelerators (or slots) in all ended well.
  void Record(const AccountId& aAccount, std::int64_t aSize, const RunTime& aRunTime);
  std::optional<Duration> Quantile(const AccountId& aAccount, std::int64_t aSize, double aPart,
                                   Duration aDeclared, Duration aRan = Duration(0)) const;
  // Null if no job of the account and size ended.
  const RunTimeSeries* Find(const AccountId& aAccount, std::int64_t aSize) const;
  std::size_t Count() const { return mCount; }

private:
  // Sizes within a factor of two are one kind.
  static constexpr int kSizes = 16;
  struct Entry
  {
    RunTimeSeries mSeries;
    std::uint64_t mLastUse = 0;
  };

  static int SizeClass(std::int64_t aSize);
  void DropOldest();

  std::unordered_map<AccountId, std::array<std::optional<Entry>, kSizes>> mEntries;
  std::size_t mCount = 0;
  std::uint64_t mUses = 0;
};

} // namespace lovagerock::placement
