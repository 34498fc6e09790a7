#pragma once

#include "base/CallbackGuard.h"
#include "base/LogEvent.h"
#include "control/Backlog.h"
#include "control/ControlSettings.h"
#include "control/Election.h"
#include "control/Keys.h"
#include "kv/PrefixStore.h"

#include <chrono>
#include <set>
#include <system_error>
#include <utility>

namespace lovagerock::control {

// Writes the groups whose submissions are to be refused where all nodes see them, on condition of
// the leadership. Exists for one leadership.
template<kv::PrefixStore Store>
class ClosedGroupsPublisher
{
public:
  ClosedGroupsPublisher(Store& aStore, const Election<Store>& aElection)
    : mStore(aStore)
    , mElection(aElection)
    , mPublished(aElection.ClosedGroups())
  {
  }

  // Closes the backlog's groups anew and writes them if they have changed, at most once per
  // kMinPublishPeriod. To be called again and again, because a write may fail.
  void Update(Backlog& aBacklog)
  {
    const auto now = std::chrono::steady_clock::now();
    auto closed = aBacklog.UpdateClosed();
    if (closed == mPublished || mIsWriting || !mElection.IsConfirmed() ||
        now - mWrittenAt < kMinPublishPeriod) {
      return;
    }
    LogEvent("backlog_groups_closed", LogLevel::Warning)
      .With("groups", closed.size())
      .With("before", mPublished.size())
      .With("used_bytes", aBacklog.Used())
      .With("limit_bytes", aBacklog.Limit())
      .With("parked", aBacklog.ParkedCount());
    mIsWriting = true;
    mWrittenAt = now;
    kv::ConditionalWrites writes;
    writes.mConditions = { mElection.Condition() };
    writes.mWrites.push_back({ std::string(kClosedGroupsKey), WriteClosedGroups(closed), {} });
    mStore.Write(writes, mGuard.Wrap([this, closed = std::move(closed)](
                                       std::error_code aError, const kv::WriteOutcome& aOutcome) {
      mIsWriting = false;
      if (!aError && aOutcome.mApplied) {
        mPublished = closed;
      }
    }));
  }

  // The groups that the store's record names, as far as is known.
  const std::set<scheduler::JobGroup>& Published() const { return mPublished; }

private:
  Store& mStore;
  const Election<Store>& mElection;
  std::set<scheduler::JobGroup> mPublished;
  bool mIsWriting = false;
  TimePoint mWrittenAt;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
