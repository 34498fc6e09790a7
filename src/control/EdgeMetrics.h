#pragma once

#include "control/RelayedWrite.h"
#include "control/WaitMonitor.h"
#include "http/CallerConnections.h"
#include "peer/PeerSettings.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lovagerock::control {

// The metrics of an entry node.
class EdgeMetrics
{
public:
  EdgeMetrics();

  // Counts a write that this node has asked another one to make.
  void CountRelayedWrite(RelayOutcome aOutcome)
  {
    mRelayed[static_cast<std::size_t>(aOutcome)]->Increment();
  }
  // Counts a submission that was refused because of its content or of the backlog.
  void CountRefusedJob(const std::string& aReason)
  {
    mRefusedJobs.Add({ { "reason", aReason } }).Increment();
  }
  // Counts the cancellation of a job that wasn't stored, and whether it was recorded.
  void CountEarlyCancellation(bool aIsRecorded)
  {
    (aIsRecorded ? mRecordedCancellations : mRefusedCancellations).Increment();
  }
  // Sets what a listener holds for its callers, and what it has refused.
  void SetListener(const std::string& aListener, const http::CallerCounts& aCounts);
  void SetPeers(const peer::PeerCounters& aCounters);

  // Returns all metrics in the text format of Prometheus. aLeader is null while the node doesn't
  // lead.
  std::string Collect(const LeaderStatus* aLeader);

private:
  struct ReasonGauges
  {
    prometheus::Gauge* mJobs = nullptr;
    prometheus::Gauge* mLongest = nullptr;
  };

  // Adds what was thrown away since the last call.
  void AddWaste(const scheduler::WasteCounts& aCounts);
  void
  SetRefusals(const std::string& aListener, const std::map<std::string, std::uint64_t>& aRefusals);

  prometheus::Registry mRegistry;
  prometheus::Gauge& mLeads;
  prometheus::Gauge& mSettled;
  prometheus::Gauge& mUnanswered;
  prometheus::Gauge& mEvacuatedZones;
  prometheus::Gauge& mZonesOutdated;
  prometheus::Gauge& mSpeedSamples;
  prometheus::Gauge& mBacklogUsed;
  prometheus::Gauge& mBacklogLimit;
  prometheus::Gauge& mParkedJobs;
  prometheus::Gauge& mClosedGroups;
  prometheus::Gauge& mFormerWorkers;
  prometheus::Gauge& mEarlyCancellations;
  prometheus::Counter& mRecordedCancellations;
  prometheus::Counter& mRefusedCancellations;
  prometheus::Family<prometheus::Gauge>& mConnections;
  prometheus::Family<prometheus::Gauge>& mHeld;
  prometheus::Family<prometheus::Counter>& mRefusals;
  prometheus::Family<prometheus::Counter>& mRefusedJobs;
  std::array<ReasonGauges, scheduler::kWaitReasons> mReasons;
  // By level.
  std::array<prometheus::Gauge*, scheduler::kAccountLevels> mAccounts{};
  std::array<prometheus::Counter*, kRelayOutcomes> mRelayed{};
  std::array<prometheus::Gauge*, scheduler::kSpeedClasses> mSpeedClasses{};
  std::array<prometheus::Counter*, scheduler::kWasteCauses> mWasted{};
  // The counts of the present leadership that are part of mWasted.
  scheduler::WasteCounts mCountedWaste;
};

} // namespace lovagerock::control
