#pragma once

#include "base/Random.h"
#include "retention/DeletionQueue.h"
#include "retention/PrefixPager.h"
#include "retention/RateLimitedCalls.h"
#include "retention/SweepOutcome.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Deletes the expired keys below one prefix, page by page, so that only the values of one page are
// in memory.
template<kv::KeyValueStore Store>
class KeySweep
{
public:
  // Returns the expired keys among the entries of a page.
  using Finder = std::function<std::vector<Deletion>(const std::vector<kv::Entry>&)>;

  KeySweep(RateLimitedCalls<Store>& aCalls, Random& aRandom, SweepReport& aReport)
    : mCalls(aCalls)
    , mRandom(aRandom)
    , mReport(aReport)
  {
  }

  void Run(std::string aBase, PrefixPager aPager, Finder aFinder, SweepCallback aDone)
  {
    mBase = std::move(aBase);
    mPager = std::move(aPager);
    mFinder = std::move(aFinder);
    mDone = std::move(aDone);
    const auto prefix = mBase + mPager.SamplePage();
    mCalls.ListPage(prefix,
                    [this, prefix](std::error_code aError, const std::vector<kv::Entry>& aEntries) {
                      if (aError && aError != make_error_code(kv::KvError::TooLarge)) {
                        OnReadFailed(prefix, aError);
                        return;
                      }
                      mPager.Start(aError ? std::nullopt : std::optional(SizeOf(aEntries)));
                      NextPage();
                    });
  }

private:
  // Returns the approximate size of the entries in a response of the service, which has the values
  // in base64 and about 90 bytes of field names for each entry.
  static Bytes SizeOf(const std::vector<kv::Entry>& aEntries)
  {
    std::size_t n = 0;
    for (const auto& it : aEntries) {
      n += 90 + it.mKey.size() + it.mValue.size() * 4 / 3;
    }
    return Bytes(static_cast<std::int64_t>(n));
  }

  void OnReadFailed(const std::string& aPrefix, std::error_code aError)
  {
    End({ SweepOutcome::Kind::ReadFailed, "list " + aPrefix + ": " + aError.message() });
  }

  void NextPage()
  {
    const auto page = mPager.Next(mRandom);
    if (!page) {
      End({});
      return;
    }
    const auto prefix = mBase + *page;
    mCalls.ListPage(
      prefix, [this, prefix, page](std::error_code aError, const std::vector<kv::Entry>& aEntries) {
        if (aError == make_error_code(kv::KvError::TooLarge)) {
          mPager.Split(*page);
          NextPage();
        } else if (aError) {
          OnReadFailed(prefix, aError);
        } else {
          mReport.mListed += static_cast<std::int64_t>(aEntries.size());
          mQueue.Reset(mFinder(aEntries));
          Delete();
        }
      });
  }

  void Delete()
  {
    if (mQueue.IsEmpty()) {
      NextPage();
      return;
    }
    mCalls.Transact(mQueue.NextBatch(),
                    [this](std::error_code aError, const kv::TransactionResult& aResult) {
                      if (aError) {
                        End({ SweepOutcome::Kind::DeleteFailed, "delete: " + aError.message() });
                        return;
                      }
                      if (aResult.mApplied) {
                        mQueue.OnApplied(mReport);
                      } else {
                        mQueue.OnRefused(aResult.mFailed, mReport);
                      }
                      Delete();
                    });
  }

  // Clears mDone before the call, because the callback may start the next sweep.
  void End(const SweepOutcome& aOutcome) { std::exchange(mDone, {})(aOutcome); }

  RateLimitedCalls<Store>& mCalls;
  Random& mRandom;
  SweepReport& mReport;
  std::string mBase;
  PrefixPager mPager;
  Finder mFinder;
  SweepCallback mDone;
  DeletionQueue mQueue;
};

} // namespace lovagerock::retention
