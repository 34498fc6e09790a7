#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "kv/KeyValueStore.h"
#include "kv/KvError.h"
#include "retention/SweepReport.h"
#include "retention/SweeperSettings.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Makes the sweeper's calls to the key-value service: one at a time, at a bounded rate, with failed
// calls retried. The rate limit also holds across runs and across Close() and Open(). To be used on
// the thread of its event loop only.
template<kv::KeyValueStore Store>
class RateLimitedCalls
{
public:
  RateLimitedCalls(EventLoop& aLoop, Store& aStore, Random& aRandom,
                   const SweeperSettings& aSettings, SweepReport& aReport)
    : mLoop(aLoop)
    , mStore(aStore)
    , mRandom(aRandom)
    , mSettings(aSettings)
    , mReport(aReport)
  {
  }

  // Calls may be made only between Open() and Close(). Close() drops a call that waits and the
  // callback of a call in flight.
  void Open() { mOpenToken = std::make_shared<int>(); }
  void Close()
  {
    mTimer.Cancel();
    mOpenToken.reset();
  }

  void Get(std::string aKey, kv::GetCallback aCallback)
  {
    Read<std::optional<kv::Entry>>(
      [this, key = std::move(aKey)](kv::GetCallback aDone) { mStore.Get(key, std::move(aDone)); },
      std::move(aCallback), 0);
  }

  void ListPage(std::string aPrefix, kv::ListCallback aCallback)
  {
    Read<std::vector<kv::Entry>>(
      [this, prefix = std::move(aPrefix)](kv::ListCallback aDone) {
        mStore.ListPage(prefix, mSettings.mPageLimit, std::move(aDone));
      },
      std::move(aCallback), 0);
  }

  void
  ListNames(std::string aPrefix, std::string aSeparator, Bytes aLimit, kv::NamesCallback aCallback)
  {
    Read<kv::NameList>(
      [this, prefix = std::move(aPrefix), separator = std::move(aSeparator), aLimit](
        kv::NamesCallback aDone) { mStore.ListNames(prefix, separator, aLimit, std::move(aDone)); },
      std::move(aCallback), 0);
  }

  // A retry sends the same operations. If the transaction took effect and only its response was
  // lost, repeating its deletes changes nothing, or its version checks fail and the caller skips
  // the keys.
  void Transact(std::vector<kv::Operation> aOperations, kv::TransactCallback aCallback)
  {
    Write(std::make_shared<std::vector<kv::Operation>>(std::move(aOperations)),
          std::move(aCallback), 0);
  }

private:
  template<typename Result>
  using Callback = std::function<void(std::error_code, Result)>;

  // Wraps a callback so that it does nothing after Close().
  template<typename Function>
  auto Guarded(Function aFunction)
  {
    return
      [weak = std::weak_ptr(mOpenToken), function = std::move(aFunction)](auto&&... aArguments) {
        if (!weak.expired()) {
          function(std::forward<decltype(aArguments)>(aArguments)...);
        }
      };
  }

  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  // Calls aFunction once, after aDelay and not before aNotBefore.
  template<typename Function>
  void After(Duration aDelay, TimePoint aNotBefore, Function aFunction)
  {
    // Rounded up, because a truncated wait would be shorter than the period.
    const auto wait = std::chrono::ceil<Duration>(aNotBefore - Now());
    mTimer = mLoop.After(std::max(aDelay, wait), std::move(aFunction));
  }

  Duration RetryDelay(int aFailures)
  {
    return aFailures == 0 ? Duration(0) : mRandom.Jitter(mSettings.mRetryDelay);
  }

  // Whether to repeat a call that had already failed aFailures times in a row before aError. Counts
  // the failure. TooLarge is not retried, because the caller has to ask for less.
  bool ShouldRetry(std::error_code aError, int aFailures)
  {
    if (!aError || aError == make_error_code(kv::KvError::TooLarge)) {
      return false;
    }
    ++mReport.mFailures;
    return aFailures + 1 < mSettings.mMaxFailures;
  }

  template<typename Result>
  void Read(std::function<void(Callback<Result>)> aCall, Callback<Result> aCallback, int aFailures)
  {
    After(RetryDelay(aFailures), mNextRead, [=, this] {
      ++mReport.mReads;
      mNextRead = Now() + mSettings.mReadPeriod;
      aCall(Guarded([=, this](std::error_code aError, Result aResult) {
        if (ShouldRetry(aError, aFailures)) {
          Read<Result>(aCall, aCallback, aFailures + 1);
        } else {
          aCallback(aError, std::move(aResult));
        }
      }));
    });
  }

  void Write(const std::shared_ptr<std::vector<kv::Operation>>& aOperations,
             kv::TransactCallback aCallback, int aFailures)
  {
    After(RetryDelay(aFailures), mNextWrite, [=, this] {
      ++mReport.mTransactions;
      mNextWrite = Now() + mSettings.mTransactionPeriod;
      mStore.Transact(*aOperations, Guarded([=, this](std::error_code aError,
                                                      const kv::TransactionResult& aResult) {
        mNextWrite = Now() + mSettings.mTransactionPeriod;
        // A refused transaction must name the operations that failed; if it names none, the
        // response is treated as a failed call.
        const bool malformed = !aError && !aResult.mApplied && aResult.mFailed.empty();
        const auto ec = malformed ? make_error_code(kv::KvError::Unavailable) : aError;
        if (ShouldRetry(ec, aFailures)) {
          Write(aOperations, aCallback, aFailures + 1);
        } else {
          aCallback(ec, aResult);
        }
      }));
    });
  }

  EventLoop& mLoop;
  Store& mStore;
  Random& mRandom;
  const SweeperSettings& mSettings;
  SweepReport& mReport;
  TimePoint mNextRead;
  TimePoint mNextWrite;
  Timer mTimer;
  std::shared_ptr<int> mOpenToken;
};

} // namespace lovagerock::retention
