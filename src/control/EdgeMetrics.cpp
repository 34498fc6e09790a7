#include "control/EdgeMetrics.h"

#include <prometheus/text_serializer.h>

#include <chrono>
#include <sstream>

namespace lovagerock::control {

namespace {

prometheus::Family<prometheus::Gauge>&
AddFamily(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry);
}

} // namespace

EdgeMetrics::EdgeMetrics()
  : mLeads(AddFamily(mRegistry, "lovagerock_leads", "1 while this node is the leader").Add({}))
  , mSettled(AddFamily(mRegistry, "lovagerock_takeover_settled",
                       "1 while this node leads and its takeover waits for no worker")
               .Add({}))
  , mUnanswered(AddFamily(mRegistry, "lovagerock_workers_unanswered",
                          "Workers that may have runs of earlier leaders and haven't answered "
                          "this one")
                  .Add({}))
  , mEvacuatedZones(AddFamily(mRegistry, "lovagerock_zones_evacuated",
                              "Zones in which the leader starts nothing, by operators' request")
                      .Add({}))
  , mZonesOutdated(AddFamily(mRegistry, "lovagerock_evacuations_outdated",
                             "1 while the leader starts nothing because it doesn't know which "
                             "zones are evacuated")
                     .Add({}))
  , mSpeedSamples(AddFamily(mRegistry, "lovagerock_worker_speed_samples",
                            "Samples of workers' speeds that this leader has taken")
                    .Add({}))
  , mBacklogUsed(AddFamily(mRegistry, "lovagerock_backlog_bytes",
                           "Estimated memory of the accepted jobs on this leader")
                   .Add({}))
  , mBacklogLimit(AddFamily(mRegistry, "lovagerock_backlog_limit_bytes",
                            "What the accepted jobs may take on this leader")
                    .Add({}))
  , mParkedJobs(AddFamily(mRegistry, "lovagerock_jobs_parked",
                          "Accepted jobs that are left in the store because they don't fit")
                  .Add({}))
  , mClosedGroups(AddFamily(mRegistry, "lovagerock_backlog_closed_groups",
                            "Accounts and queues whose submissions are refused because of what "
                            "they hold")
                    .Add({}))
  , mFormerWorkers(AddFamily(mRegistry, "lovagerock_former_workers",
                             "Workers that were given up and are remembered")
                     .Add({}))
  , mEarlyCancellations(AddFamily(mRegistry, "lovagerock_early_cancellations",
                                  "Recorded cancellations of jobs that weren't stored")
                          .Add({}))
  , mRecordedCancellations(prometheus::BuildCounter()
                             .Name("lovagerock_early_cancellations_recorded_total")
                             .Help("Cancellations of jobs that weren't stored, recorded by this "
                                   "node")
                             .Register(mRegistry)
                             .Add({}))
  , mRefusedCancellations(prometheus::BuildCounter()
                            .Name("lovagerock_early_cancellations_refused_total")
                            .Help("Cancellations of jobs that weren't stored, refused because of "
                                  "their number")
                            .Register(mRegistry)
                            .Add({}))
  , mConnections(
      AddFamily(mRegistry, "lovagerock_listener_connections", "Open connections, by listener"))
  , mHeld(AddFamily(mRegistry, "lovagerock_listener_held_bytes",
                    "Estimated memory of the requests that are received or answered, by listener"))
  , mRefusals(prometheus::BuildCounter()
                .Name("lovagerock_listener_refusals_total")
                .Help("Connections closed and requests refused because of a limit, by listener and "
                      "reason")
                .Register(mRegistry))
  , mRefusedJobs(
      prometheus::BuildCounter()
        .Name("lovagerock_jobs_refused_total")
        .Help("Submissions refused because of their content or of the backlog, by reason")
        .Register(mRegistry))
{
  auto& speeds = AddFamily(mRegistry, "lovagerock_workers_by_speed",
                           "Workers that accept work, by the class of their learned speed");
  for (std::size_t i = 0; i < mSpeedClasses.size(); ++i) {
    const auto* name = scheduler::SpeedClassName(static_cast<scheduler::SpeedClass>(i));
    mSpeedClasses[i] = &speeds.Add({ { "class", name } });
  }
  auto& jobs = AddFamily(mRegistry, "lovagerock_jobs_waiting",
                         "Jobs with tasks that have waited for over a second, by reason");
  auto& longest = AddFamily(mRegistry, "lovagerock_jobs_longest_wait_seconds",
                            "The longest wait of these jobs, by reason");
  for (const auto it : scheduler::AllWaitReasons()) {
    const prometheus::Labels labels{ { "reason", scheduler::WaitReasonName(it) } };
    mReasons[static_cast<std::size_t>(it)] = { &jobs.Add(labels), &longest.Add(labels) };
  }
  auto& accounts =
    AddFamily(mRegistry, "lovagerock_accounts",
              "Accounts with recent work by their level: 0 is within the fair share");
  for (std::size_t i = 0; i < mAccounts.size(); ++i) {
    mAccounts[i] = &accounts.Add({ { "level", std::to_string(i) } });
  }
  auto& relayed = prometheus::BuildCounter()
                    .Name("lovagerock_relayed_writes_total")
                    .Help("Callers' writes that another node was asked to make, by outcome")
                    .Register(mRegistry);
  for (const auto it : AllRelayOutcomes()) {
    mRelayed[static_cast<std::size_t>(it)] =
      &relayed.Add({ { "outcome", std::string(RelayOutcomeName(it)) } });
  }
  auto& wasted = prometheus::BuildCounter()
                   .Name("lovagerock_wasted_core_seconds_total")
                   .Help("Work that was thrown away while this node led, by cause; an accelerator "
                         "counts as 8 cores")
                   .Register(mRegistry);
  for (const auto it : scheduler::AllWasteCauses()) {
    mWasted[static_cast<std::size_t>(it)] =
      &wasted.Add({ { "cause", scheduler::WasteCauseName(it) } });
  }
}

void
EdgeMetrics::AddWaste(const scheduler::WasteCounts& aCounts)
{
  for (std::size_t i = 0; i < scheduler::kWasteCauses; ++i) {
    // Each leadership counts from 0.
    const auto counted =
      aCounts.mCoreSeconds[i] < mCountedWaste.mCoreSeconds[i] ? 0 : mCountedWaste.mCoreSeconds[i];
    mWasted[i]->Increment(aCounts.mCoreSeconds[i] - counted);
  }
  mCountedWaste = aCounts;
}

void
EdgeMetrics::SetListener(const std::string& aListener, const http::CallerCounts& aCounts)
{
  const prometheus::Labels labels{ { "listener", aListener } };
  mConnections.Add(labels).Set(static_cast<double>(aCounts.mConnections));
  mHeld.Add(labels).Set(static_cast<double>(aCounts.mHeld.Value()));
  SetRefusals(aListener, aCounts.mClosed);
}

void
EdgeMetrics::SetPeers(const peer::PeerCounters& aCounters)
{
  const prometheus::Labels labels{ { "listener", "peers" } };
  mConnections.Add(labels).Set(static_cast<double>(aCounters.mAccepted));
  mHeld.Add(labels).Set(static_cast<double>(aCounters.mHeld.Value()));
  SetRefusals("peers", aCounters.mRefused);
}

void
EdgeMetrics::SetRefusals(const std::string& aListener,
                         const std::map<std::string, std::uint64_t>& aRefusals)
{
  for (const auto& [reason, count] : aRefusals) {
    auto& counter = mRefusals.Add({ { "listener", aListener }, { "reason", reason } });
    counter.Increment(static_cast<double>(count) - counter.Value());
  }
}

std::string
EdgeMetrics::Collect(const LeaderStatus* aLeader)
{
  const auto status = aLeader ? *aLeader : LeaderStatus();
  mLeads.Set(aLeader ? 1 : 0);
  mSettled.Set(status.mIsTakeoverSettled ? 1 : 0);
  mUnanswered.Set(static_cast<double>(status.mUnansweredWorkers));
  mEvacuatedZones.Set(static_cast<double>(status.mEvacuatedZones));
  mZonesOutdated.Set(status.mAreZonesOutdated ? 1 : 0);
  for (const auto it : scheduler::AllWaitReasons()) {
    const auto& count = status.mWaits.Of(it);
    const auto& gauges = mReasons[static_cast<std::size_t>(it)];
    gauges.mJobs->Set(count.mJobs);
    gauges.mLongest->Set(std::chrono::duration<double>(count.mLongest).count());
  }
  for (std::size_t i = 0; i < mAccounts.size(); ++i) {
    mAccounts[i]->Set(status.mAccounts[i]);
  }
  for (std::size_t i = 0; i < mSpeedClasses.size(); ++i) {
    mSpeedClasses[i]->Set(status.mSpeeds.mWorkers[i]);
  }
  mBacklogUsed.Set(static_cast<double>(status.mBacklog.mUsed.Value()));
  mBacklogLimit.Set(static_cast<double>(status.mBacklog.mLimit.Value()));
  mParkedJobs.Set(static_cast<double>(status.mBacklog.mParked));
  mClosedGroups.Set(static_cast<double>(status.mBacklog.mClosedGroups));
  mFormerWorkers.Set(static_cast<double>(status.mFormerWorkers));
  mEarlyCancellations.Set(static_cast<double>(status.mEarlyCancellations));
  mSpeedSamples.Set(static_cast<double>(status.mSpeeds.mSamples));
  AddWaste(status.mWasted);
  std::ostringstream stream;
  prometheus::TextSerializer().Serialize(stream, mRegistry.Collect());
  return stream.str();
}

} // namespace lovagerock::control
