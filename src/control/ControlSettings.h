#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "scheduler/SchedulerSettings.h"

namespace lovagerock::control {

// The settings of an entry node, as the deployment gives them.
struct ControlSettings
{
  NodeId mNode;
  ZoneId mZone;
  // Where callers connect, where the balancer asks for readiness, and where other nodes call.
  SocketAddress mCallers;
  SocketAddress mReadiness;
  SocketAddress mPeers;
  // The time between SIGTERM and SIGKILL.
  Duration mGrace{ 6000 };
  // A key that was taken away must not be accepted any more after this time; 0 is unlimited.
  Duration mRevocation{ 0 };
  // What the machine has: cores, and megabits a second on its link.
  double mCores = 1;
  double mLinkMbps = 1000;
  scheduler::SchedulerSettings mScheduler;
};

// The lease on the leadership, and how often it is renewed.
inline constexpr Duration kLeadershipLease{ 1500 };
inline constexpr Duration kLeadershipRenewal{ 400 };
// A vacant leadership is claimed after these times divided by the machine's cores and by the
// megabits a second of its link, so that the larger machines lead.
inline constexpr double kClaimDelayPerCoreMs = 12;
inline constexpr double kClaimDelayPerMbpsMs = 1000;
// Spreads the claims of equal machines.
inline constexpr Duration kClaimJitter{ 20 };
// A watch without events is asked anew after this time, which bounds the age of what is known.
inline constexpr Duration kWatchWait{ 1000 };
// Workers rewrite their entries all the time; their changes are read together after this time.
inline constexpr Duration kWorkerNewsRest{ 200 };
// The pause after a call to the store that failed.
inline constexpr Duration kStoreRetry{ 150 };
// The configuration counts as current for this much less than a key may outlive its removal.
inline constexpr Duration kRevocationMargin{ 800 };
// A node whose configuration wasn't confirmed for this time takes no new connections.
inline constexpr Duration kReadyConfirmation{ 2800 };
// Changes of jobs are gathered for this time before they are stored.
inline constexpr Duration kStoreDelay{ 15 };
// Events are gathered for this time before the next plan.
inline constexpr Duration kPlanDelay{ 3 };
// Plans are made at least this often, for what becomes due with time alone.
inline constexpr Duration kPlanPeriod{ 60 };
// How often the records of jobs that ended long ago are deleted.
inline constexpr Duration kExpiryPeriod{ 10000 };
// How often a node that shuts down looks whether it may end.
inline constexpr Duration kStopCheckPeriod{ 50 };
// A renewal of a worker's lease waits for an end for this time.
inline constexpr Duration kHoldWait{ 1000 };
// The pause before a worker is called again after a failure, or while its ends aren't stored.
inline constexpr Duration kHoldRetry{ 250 };
// A new leader's call to the former one. All work waits for it, and a former leader that is alive
// answers within a few milliseconds.
inline constexpr Duration kHandOverCall{ 100 };
// A call to the leader for a job's state.
inline constexpr Duration kLeaderCall{ 400 };
// The time for finding out what became of a submission before the caller is told to ask again.
inline constexpr Duration kSubmitLimit{ 2000 };
// When callers should come back after a refusal that a short outage causes.
inline constexpr int kRetryAfterSeconds = 1;

} // namespace lovagerock::control
