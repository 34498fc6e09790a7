#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "scheduler/JobLimits.h"
#include "scheduler/SchedulerSettings.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace lovagerock::control {

// How operators ask that nothing more is started in a zone.
struct EvacuationSettings
{
  // The prefix of the store's keys; the rest of a key is the zone.
  std::string mPrefix;
  // Nothing may be started in the zone later than this after the store has acknowledged the key.
  Duration mLimit{ 0 };

  bool operator==(const EvacuationSettings&) const = default;
};

// The settings of an entry node, read from its settings file.
struct ControlSettings
{
  NodeId mNode;
  ZoneId mZone;
  // Listening addresses for callers, for the load balancer's readiness checks and for other nodes.
  SocketAddress mCallers;
  SocketAddress mReadiness;
  SocketAddress mPeers;
  // The time between SIGTERM and SIGKILL.
  Duration mGracePeriod{ 6000 };
  // A removed API key must not be accepted for longer than this; 0 means no limit.
  Duration mRevocationLimit{ 0 };
  // The machine's CPU cores and its network bandwidth in Mbit/s.
  double mCores = 1;
  double mLinkMbps = 1000;
  // The machine's memory and what it allows of open descriptors; 0 if not known.
  MemoryMiB mMemory;
  int mFileDescriptors = 0;
  // Unset if zones can't be evacuated.
  std::optional<EvacuationSettings> mEvacuations;
  // All availability zones; empty if unknown.
  std::set<ZoneId> mZones;
  scheduler::SchedulerSettings mScheduler;
  // Limits of a submitted job.
  scheduler::JobLimits mJobs;
  // The shortest lease that the store grants; 0 if it isn't known.
  Duration mMinStoreLease{ 0 };
  // The memory that the accepted jobs may take on the leader; 0 for a quarter of the machine's.
  MemoryMiB mBacklogMemory;
};

// While the store doesn't confirm the leadership, more than half of the witnesses must have
// answered calls that were sent within this time, or the leader may not renew workers' leases; see
// Witness.
inline constexpr Duration kWitnessAnswerAge{ 1000 };
// Meanwhile a witness holds back its reply to a lease renewal for up to this time only.
inline constexpr Duration kWitnessWait{ 250 };
// The time that is asked for the leader's lease in the store, unless the store grants longer ones
// only, and how often a lease of that time is renewed. What the store applies is up to it, see
// LeadershipLease.
inline constexpr Duration kLeadershipLease{ 1500 };
inline constexpr Duration kLeadershipRenewal{ 400 };
// An order reaches its worker within this time, unless it is held up.
inline constexpr Duration kOrderTime{ 100 };
// A node claims a vacant leadership after the first time divided by its cores plus the second one
// divided by its bandwidth in Mbit/s, so that larger machines become leaders.
inline constexpr double kClaimDelayPerCoreMs = 12;
inline constexpr double kClaimDelayPerMbpsMs = 1000;
// Upper bound of a random delay that spreads the claims of equal machines.
inline constexpr Duration kClaimJitter{ 20 };
// A watch call without events returns after this time, which bounds the age of a node's view.
inline constexpr Duration kWatchWait{ 1000 };
// A leader's count of a queue's pending jobs is current while its view of the accepted jobs is at
// most this old. While nothing changes, the view is confirmed once in kWatchWait, as it was
// kWatchWait ago.
inline constexpr Duration kMaxPendingCountAge = 2 * kWatchWait + Duration(800);
// A queue's pending jobs are counted at most once in this time, for so many queues.
inline constexpr Duration kPendingCountPeriod{ 50 };
inline constexpr std::size_t kMaxPendingCounts = 10'000;
// Pause between watch calls for worker entries, which change constantly; batches their changes.
inline constexpr Duration kWorkerWatchPause{ 200 };
// Delay before a failed store call is retried.
inline constexpr Duration kStoreRetryDelay{ 150 };
// A leader whose listings have failed for this time, although the store confirms its leadership,
// lets another node lead.
inline constexpr Duration kMaxListOutage{ 3000 };
// Listed items that are passed on at a time, and the time of work with them after which a node
// serves other events: far below the period at which a leader renews its lease.
inline constexpr std::size_t kListedAtATime = 16;
inline constexpr Duration kMaxListWork{ 20 };
// Items that a new leader lists between two counts of the memory of the jobs, each of which looks
// at all of them.
inline constexpr std::size_t kListedBetweenCounts = 500;
// Time without claims of a node that has resigned because it couldn't carry out the leadership.
inline constexpr Duration kClaimPause{ 2000 };
// API keys are accepted while the configuration's age is below the revocation limit minus this
// margin.
inline constexpr Duration kRevocationMargin{ 800 };
// A node reports not ready once its configuration has gone unconfirmed for this time.
inline constexpr Duration kMaxReadyConfigurationAge{ 2800 };
// Changes of jobs are batched for this time before they are stored.
inline constexpr Duration kStoreDelay{ 15 };
// Events are batched for at least this time before the next plan.
inline constexpr Duration kPlanDelay{ 3 };
// A plan is requested at least this often, for work that becomes due without an event.
inline constexpr Duration kPlanPeriod{ 60 };
// Interval at which the memory of the accepted jobs is compared with its limit, how many of these
// pass between two counts of it, and the shortest time between two changes of the closed groups.
inline constexpr Duration kBacklogPeriod{ 100 };
inline constexpr int kBacklogCounts = 10;
inline constexpr Duration kMinPublishPeriod{ 300 };
// Parked jobs that are being read at a time.
inline constexpr int kMaxLoadingParked = 8;
// The time for which the cancellation of a job that isn't stored is kept. A submission may be
// stored that much later: a node or the store holds it up for seconds, and callers repeat it within
// seconds more.
inline constexpr Duration kEarlyCancellationTime{ 60000 };
// Such cancellations that a node records at once, and per second. Each one is a write of the store,
// whose rate all nodes share, and takes some memory of the leader for kEarlyCancellationTime.
inline constexpr int kEarlyCancellationBurst = 50;
inline constexpr double kEarlyCancellationsPerSecond = 5;
// What the summary of an ended job takes.
inline constexpr Bytes kEndedJobBytes{ 256 };
// Interval at which the records of jobs past their retention time are deleted.
inline constexpr Duration kExpiryPeriod{ 10000 };
// Interval at which a node that shuts down checks whether it may exit.
inline constexpr Duration kShutdownCheckPeriod{ 50 };
// A worker holds back its reply to a lease renewal for up to this time, until a run ends.
inline constexpr Duration kRenewalWait{ 1000 };
// Delay before the next renewal after a failed one, or while the worker's ended runs aren't stored.
inline constexpr Duration kRenewalRetryDelay{ 250 };
// Timeout of a new leader's hand-over request to the former leader. All work waits for the reply,
// and a former leader that is alive replies within a few milliseconds.
inline constexpr Duration kHandOverTimeout{ 100 };
// Period at which a leader asks the former ones that may still act whether they have ended.
inline constexpr Duration kFormerLeadersPeriod{ 500 };
// Timeout of a node's query to the leader for a job's state or a queue's pending jobs.
inline constexpr Duration kLeaderCallTimeout{ 400 };
// Upper limit of the time for which a caller's write is retried to find out its outcome; after that
// the caller gets an error and may repeat the request.
inline constexpr Duration kMaxWriteRetryTime{ 2000 };
// Value of the Retry-After header of requests that are refused because of a short outage.
inline constexpr int kRetryAfterSeconds = 1;
// The same of submissions that are refused because of the backlog: jobs take seconds to end.
inline constexpr int kBacklogRetryAfterSeconds = 2;
// A submission that the backlog refuses is first looked up in the store, because an earlier attempt
// may have been stored. So many a second are; others are answered 504, which tells nothing of the
// job.
inline constexpr int kMaxRefusalChecks = 20;

} // namespace lovagerock::control
