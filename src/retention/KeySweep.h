#pragma once

#include "base/Random.h"
#include "retention/DeletionQueue.h"
#include "retention/PacedCalls.h"
#include "retention/PageWalk.h"
#include "retention/SweepEnd.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Deletes the expired keys below one prefix, page by page, with the values of one page in memory.
template<kv::KeyValueStore Store>
class KeySweep
{
public:
  // Finds the expired keys of a page.
  using Finder = std::function<std::vector<Deletion>(const std::vector<kv::Entry>&)>;

  KeySweep(PacedCalls<Store>& aCalls, Random& aRandom, SweepReport& aReport)
    : mCalls(aCalls)
    , mRandom(aRandom)
    , mReport(aReport)
  {
  }

  void Run(std::string aBase, PageWalk aWalk, Finder aFinder, SweepCallback aDone)
  {
    mBase = std::move(aBase);
    mWalk = std::move(aWalk);
    mFinder = std::move(aFinder);
    mDone = std::move(aDone);
    const auto prefix = mBase + mWalk.Sample();
    mCalls.ListPage(prefix,
                    [this, prefix](std::error_code aError, const std::vector<kv::Entry>& aEntries) {
                      if (aError && aError != make_error_code(kv::KvError::TooLarge)) {
                        OnReadFailed(prefix, aError);
                        return;
                      }
                      mWalk.Start(aError ? std::nullopt : std::optional(SizeOf(aEntries)));
                      NextPage();
                    });
  }

private:
  // The size in an answer of the service: the value in base64, with about 90 bytes of names.
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
    End({ SweepEnd::Kind::ReadFailed, "list " + aPrefix + ": " + aError.message() });
  }

  void NextPage()
  {
    const auto page = mWalk.Next(mRandom);
    if (!page) {
      End({});
      return;
    }
    const auto prefix = mBase + *page;
    mCalls.ListPage(
      prefix, [this, prefix, page](std::error_code aError, const std::vector<kv::Entry>& aEntries) {
        if (aError == make_error_code(kv::KvError::TooLarge)) {
          mWalk.Split(*page);
          NextPage();
        } else if (aError) {
          OnReadFailed(prefix, aError);
        } else {
          mReport.mListed += static_cast<std::int64_t>(aEntries.size());
          mQueue.Fill(mFinder(aEntries));
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
    mCalls.Transact(mQueue.Batch(),
                    [this](std::error_code aError, const kv::TransactionResult& aResult) {
                      if (aError) {
                        End({ SweepEnd::Kind::DeleteFailed, "delete: " + aError.message() });
                        return;
                      }
                      if (aResult.mApplied) {
                        mQueue.Applied(mReport);
                      } else {
                        mQueue.Refused(aResult.mFailed, mReport);
                      }
                      Delete();
                    });
  }

  // The callback may start the next sweep.
  void End(const SweepEnd& aEnd) { std::exchange(mDone, {})(aEnd); }

  PacedCalls<Store>& mCalls;
  Random& mRandom;
  SweepReport& mReport;
  std::string mBase;
  PageWalk mWalk;
  Finder mFinder;
  SweepCallback mDone;
  DeletionQueue mQueue;
};

} // namespace lovagerock::retention
