#pragma once

#include "base/Units.h"
#include "control/Election.h"
#include "scheduler/Orders.h"

#include <functional>
#include <vector>

namespace lovagerock::control {

// The state that a leader may not have stored when its leadership ended.
struct HandOver
{
  // The token of that leadership, which has ended; 0 if nothing is known of it.
  FencingToken mToken;
  // Whether the stored progress and mProgress together name all runs that may be active.
  bool mIsComplete = false;
  // How long leases may last that leaders before that one have renewed; see
  // scheduler::Scheduler::EarlierLeases().
  Duration mEarlierLeases{ 0 };
  std::vector<scheduler::ProgressWrite> mProgress;
  // How long before this reply the leadership had ended at the latest.
  Duration mEndedAgo{ 0 };
  // Workers that have restarted under their ids. The record of that may not be stored.
  std::vector<WorkerId> mRestarted;
};

using HandOverCallback = std::function<void(HandOver)>;
// Requests a former leader's hand-over; calls back with an empty one if it isn't known how to reach
// that leader, or if it doesn't reply within the timeout.
using HandOverSource =
  std::function<void(const FormerLeader&, Duration aTimeout, HandOverCallback)>;

// Returns the hand-over of a node that knows nothing of the leadership but that it has ended there,
// for instance because the leader's process was restarted.
HandOver
UnknownHandOver(FencingToken aToken, Duration aEndedAgo);

// Encodes the hand-over for the peer protocol.
Json
WriteHandOver(const HandOver& aHandOver);
// Decodes it; returns an empty hand-over if any part is malformed.
HandOver
ReadHandOver(const Json& aJson);

} // namespace lovagerock::control
