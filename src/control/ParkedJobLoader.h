#pragma once

#include "base/CallbackGuard.h"
#include "base/LogEvent.h"
#include "control/Backlog.h"
#include "control/ControlSettings.h"
#include "control/Keys.h"
#include "kv/PrefixStore.h"
#include "scheduler/JobRecord.h"

#include <functional>
#include <optional>
#include <system_error>
#include <utility>

namespace lovagerock::control {

// Reads the records of parked jobs from the store as soon as they fit.
template<kv::PrefixStore Store>
class ParkedJobLoader
{
public:
  // Receives a job that was parked and isn't any more, with what was known of it.
  using LoadedCallback = std::function<void(const scheduler::AcceptedJob&, const ParkedJob&)>;

  ParkedJobLoader(Store& aStore, Backlog& aBacklog, LoadedCallback aOnLoaded)
    : mStore(aStore)
    , mBacklog(aBacklog)
    , mOnLoaded(std::move(aOnLoaded))
  {
  }

  // Begins to read the jobs that fit, kMaxLoadingParked at a time. To be called again and again.
  void LoadNext()
  {
    while (mReading < kMaxLoadingParked) {
      const auto next = mBacklog.NextParked();
      if (!next) {
        return;
      }
      ++mReading;
      mStore.Get(
        KeyOf(kJobPrefix, *next),
        mGuard.Wrap([this, id = *next](std::error_code aError, std::optional<kv::Item> aItem) {
          --mReading;
          OnRead(id, aError, aItem);
        }));
    }
  }

private:
  void OnRead(const JobId& aJob, std::error_code aError, const std::optional<kv::Item>& aItem)
  {
    const auto* known = mBacklog.FindParked(aJob);
    if (!known) {
      return;
    }
    if (aError) {
      mBacklog.RetryParked(aJob);
      return;
    }
    const auto parked = *known;
    mBacklog.RemoveParked(aJob);
    if (const auto job = aItem ? scheduler::ReadAcceptedJob(aItem->mValue) : std::nullopt) {
      mOnLoaded(*job, parked);
    } else {
      LogEvent("job_record_malformed", LogLevel::Error).With("key", KeyOf(kJobPrefix, aJob));
    }
  }

  Store& mStore;
  Backlog& mBacklog;
  LoadedCallback mOnLoaded;
  int mReading = 0;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
