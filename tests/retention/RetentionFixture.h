#pragma once

#include "configstore/ConfigRecord.h"
#include "jobs/JobRecord.h"
#include "kv/KvError.h"
#include "kv/MemoryStore.h"
#include "retention/Sweeper.h"
#include "routing/Claim.h"

#include <criterion/criterion.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace lovagerock::retention {

constexpr std::int64_t kDayMs = 24 * 60 * 60 * 1000;
constexpr std::int64_t kNowMs = 100 * kDayMs;

// A memory store that counts calls, can fail the listing of one prefix, and calls mBeforeTransact
// before each transaction, so that a test can change keys between a read and a delete.
struct ObservedStore
{
  explicit ObservedStore(EventLoop& aLoop)
    : mMemory(aLoop)
  {
  }

  void Get(const std::string& aKey, kv::GetCallback aCallback)
  {
    ++mGets;
    mMemory.Get(aKey, std::move(aCallback));
  }
  void List(const std::string& aPrefix, kv::ListCallback aCallback)
  {
    mMemory.List(aPrefix, std::move(aCallback));
  }
  void ListPage(const std::string& aPrefix, Bytes aLimit, kv::ListCallback aCallback)
  {
    ++mLists;
    mMemory.ListPage(aPrefix, aLimit, std::move(aCallback));
  }
  void ListNames(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
                 kv::NamesCallback aCallback)
  {
    ++mLists;
    mMemory.ListNames(aPrefix, aSeparator, aLimit,
                      [=, this, fails = aPrefix == mFailingPrefix](std::error_code aError,
                                                                   const kv::NameList& aNames) {
                        mTooLargeCount += aError == make_error_code(kv::KvError::TooLarge) ? 1 : 0;
                        aCallback(fails ? make_error_code(kv::KvError::BadAnswer) : aError, aNames);
                      });
  }
  void Transact(std::vector<kv::Operation> aOperations, kv::TransactCallback aCallback)
  {
    if (mBeforeTransact) {
      mBeforeTransact(aOperations);
    }
    ++mTransactions;
    cr_assert_leq(aOperations.size(), kv::kMaxOperations);
    std::vector<std::string> deletes;
    for (const auto& it : aOperations) {
      if (it.mKind != kv::Operation::Kind::Check) {
        deletes.push_back(it.mKey);
      }
    }
    mDeletes.insert(mDeletes.end(), deletes.begin(), deletes.end());
    mMemory.Transact(std::move(aOperations), std::move(aCallback));
  }
  void
  Watch(const std::string& aKey, kv::ModifyIndex aSince, Duration aWait, kv::GetCallback aCallback)
  {
    mMemory.Watch(aKey, aSince, aWait, std::move(aCallback));
  }

  kv::MemoryStore mMemory;
  std::function<void(const std::vector<kv::Operation>&)> mBeforeTransact;
  std::string mFailingPrefix;
  // The keys of all deletes in the transactions so far, whether they were applied or not.
  std::vector<std::string> mDeletes;
  std::size_t mLists = 0;
  std::size_t mGets = 0;
  // Number of ListNames() calls that failed with TooLarge.
  int mTooLargeCount = 0;
  std::size_t mTransactions = 0;
};

// A sweeper with short delays and an in-memory store that tests fill.
struct Fixture
{
  explicit Fixture(Duration aPeriod = Duration(2), Bytes aNamesLimit = Bytes(256 * 1024))
    : mSettings(Settings(aPeriod, aNamesLimit))
  {
  }

  SweeperSettings mSettings;
  EventLoop mLoop;
  Random mRandom{ 7 };
  ObservedStore mStore{ mLoop };
  std::int64_t mNowMs = kNowMs;
  kv::ModifyIndex mLastIndex = 0;
  Timer mTimeout = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  Sweeper<ObservedStore> mSweeper{ mLoop,         mStore,    mRandom,
                                   RegionId("r"), mSettings, [this] { return mNowMs; } };

  static SweeperSettings Settings(Duration aPeriod, Bytes aNamesLimit)
  {
    SweeperSettings settings;
    settings.mFirstDelay = Duration(4);
    settings.mTransactionPeriod = aPeriod;
    settings.mNamesLimit = aNamesLimit;
    settings.mRetryDelay = Duration(4);
    settings.mReadPeriod = Duration(0);
    return settings;
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    mStore.mMemory.Restore(aKey, aValue, ++mLastIndex);
  }

  void PutClaim(const std::string& aKey, std::int64_t aCreated)
  {
    routing::Claim claim;
    claim.mPeer = SocketAddress("127.0.0.1", 1);
    claim.mCreatedMs = aCreated;
    Put(aKey, routing::WriteClaim(claim));
  }

  void PutChange(const std::string& aChange, std::int64_t aApplied)
  {
    Put(configstore::ChangeKey(ChangeId(aChange)),
        DumpJson(configstore::WriteChange({ ConfigVersion(1), "h", aApplied })));
  }

  void PutJob(const std::string& aKey, jobs::JobState aState, int aAttempt, std::int64_t aEnded)
  {
    jobs::JobRecord record;
    record.mJob = JobId(aKey.substr(aKey.rfind('/') + 1));
    record.mSpec.mTasks = 1;
    record.mSpec.mPerTask = { Slots(1), Accelerators(1), Cores(0), MemoryMiB(0) };
    record.mSpec.mPayloads = { "x" };
    record.mState = aState;
    record.mAttempt = aAttempt;
    record.mEndedMs = aEnded;
    const auto value = jobs::WriteJobRecord(record);
    cr_assert(jobs::ReadJobRecord({ aKey, value, 1 }).has_value());
    Put(aKey, value);
  }

  void PutExpiredJob(int aPieces)
  {
    for (int i = 0; i < aPieces; ++i) {
      Put("answers/j/1." + std::to_string(i) + "/0", "x");
    }
    PutJob("done/r/j", jobs::JobState::Finished, 1, kNowMs - 8 * kDayMs);
  }

  // Runs the loop until the condition holds.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    const auto check = mLoop.Every(Duration(2), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }

  // Starts the sweeper, waits for the end of one run and stops the sweeper.
  SweepReport RunOnce()
  {
    const auto lists = mStore.mLists;
    mSweeper.Start();
    RunUntil([&] { return mStore.mLists > lists && !mSweeper.IsRunning(); });
    mSweeper.Stop();
    return *mSweeper.LastReport();
  }

  // Runs aCount turns of the event loop.
  void RunTurns(int aCount)
  {
    const std::function<void()> turn = [&] {
      if (--aCount > 0) {
        mLoop.Post(turn);
      } else {
        mLoop.Stop();
      }
    };
    mLoop.Post(turn);
    mLoop.Run();
  }

  std::set<std::string> Keys()
  {
    std::set<std::string> keys;
    bool done = false;
    mStore.mMemory.List("", [&](std::error_code, const std::vector<kv::Entry>& aEntries) {
      for (const auto& it : aEntries) {
        keys.insert(it.mKey);
      }
      done = true;
    });
    RunUntil([&] { return done; });
    return keys;
  }
};

} // namespace lovagerock::retention
