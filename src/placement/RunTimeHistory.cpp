#include "placement/RunTimeHistory.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace lovagerock::placement {

namespace detail {
namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace
} // namespace detail

void
RunTimeSeries::Add(const RunTime& aRunTime)
{
  if (mRunTimes.size() == kMaxSamples) {
    mRunTimes.erase(mRunTimes.begin());
  }
  mRunTimes.push_back(aRunTime);
  mTimes.clear();
  mRatios.clear();
  for (const auto& it : mRunTimes) {
    mTimes.push_back(detail::Seconds(it.mRan));
    if (it.mDeclared.count() > 0) {
      mRatios.push_back(mTimes.back() / detail::Seconds(it.mDeclared));
    }
  }
  std::ranges::sort(mTimes);
  std::ranges::sort(mRatios);
}

std::optional<Duration>
RunTimeSeries::Quantile(double aProbability, Duration aDeclared, Duration aRan) const
{
  const double declared = detail::Seconds(aDeclared);
  const double ran = detail::Seconds(aRan);
  // Predicts from the series with less spread: from the run times if the jobs are alike, or from
  // the ratios if the account's declared run times are off by the same factor each time.
  const bool useRatio =
    declared > 0 && mRatios.size() >= kMinSamples && Spread(mRatios) < Spread(mTimes);
  const auto seconds = useRatio ? QuantileOf(mRatios, aProbability, ran / declared)
                                : QuantileOf(mTimes, aProbability, ran);
  if (!seconds) {
    return std::nullopt;
  }
  const auto ms = *seconds * (useRatio ? declared : 1) * 1000;
  return std::clamp(Duration(static_cast<Duration::rep>(
                      std::min(ms, static_cast<double>(RunTimeHistory::kMaxRunTime.count())))),
                    RunTimeHistory::kMinRunTime, RunTimeHistory::kMaxRunTime);
}

std::optional<double>
RunTimeSeries::QuantileOf(const std::vector<double>& aSorted, double aProbability,
                          double aLowerBound)
{
  const auto first = std::ranges::upper_bound(aSorted, aLowerBound);
  if (aSorted.size() < kMinSamples || first == aSorted.end()) {
    return std::nullopt;
  }
  // The index is rounded down, so that the 0.9 quantile of all samples is never the largest one.
  const auto last = static_cast<double>(aSorted.end() - first - 1);
  return first[static_cast<std::ptrdiff_t>(aProbability * last)];
}

double
RunTimeSeries::Spread(const std::vector<double>& aSorted)
{
  if (aSorted.size() < kMinSamples) {
    return std::numeric_limits<double>::infinity();
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(0.9 * last)] /
         aSorted[static_cast<std::size_t>(0.5 * last)];
}

int
RunTimeHistory::SizeClass(std::int64_t aSize)
{
  const auto width = std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(aSize, 1)));
  return std::min(static_cast<int>(width) - 1, kSizeClasses - 1);
}

void
RunTimeHistory::Record(const AccountId& aAccount, std::int64_t aSize, const RunTime& aRunTime)
{
  const auto size = static_cast<std::size_t>(SizeClass(aSize));
  const auto found = mEntries.find(aAccount);
  if (found == mEntries.end() || !found->second[size]) {
    if (mCount == kMaxSeries) {
      EvictLeastRecentlyUpdated();
    }
    mEntries[aAccount][size].emplace();
    ++mCount;
  }
  auto& entry = *mEntries[aAccount][size];
  entry.mLastUpdate = ++mUpdates;
  entry.mSeries.Add({ std::clamp(aRunTime.mDeclared, Duration(0), kMaxRunTime),
                      std::clamp(aRunTime.mRan, kMinRunTime, kMaxRunTime) });
}

void
RunTimeHistory::EvictLeastRecentlyUpdated()
{
  auto oldest = mEntries.end();
  std::size_t at = 0;
  auto least = std::numeric_limits<std::uint64_t>::max();
  for (auto it = mEntries.begin(); it != mEntries.end(); ++it) {
    for (std::size_t i = 0; i < kSizeClasses; ++i) {
      if (it->second[i] && it->second[i]->mLastUpdate < least) {
        least = it->second[i]->mLastUpdate;
        oldest = it;
        at = i;
      }
    }
  }
  oldest->second[at].reset();
  --mCount;
  if (std::ranges::none_of(oldest->second, [](const auto& aEntry) { return aEntry.has_value(); })) {
    mEntries.erase(oldest);
  }
}

const RunTimeSeries*
RunTimeHistory::Find(const AccountId& aAccount, std::int64_t aSize) const
{
  const auto it = mEntries.find(aAccount);
  if (it == mEntries.end()) {
    return nullptr;
  }
  const auto& entry = it->second[static_cast<std::size_t>(SizeClass(aSize))];
  return entry ? &entry->mSeries : nullptr;
}

std::optional<Duration>
RunTimeHistory::Quantile(const AccountId& aAccount, std::int64_t aSize, double aProbability,
                         Duration aDeclared, Duration aRan) const
{
  const auto* series = Find(aAccount, aSize);
  return series ? series->Quantile(aProbability, aDeclared, aRan) : std::nullopt;
}

} // namespace lovagerock::placement
