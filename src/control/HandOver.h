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
  // The token of that leadership; 0 if there is no hand-over.
  FencingToken mToken;
  // Whether the stored progress and mProgress together name all runs that may be active.
  bool mIsComplete = false;
  // How long leases may last that leaders before that one have renewed; see
  // scheduler::Scheduler::EarlierLeases().
  Duration mEarlierLeases{ 0 };
  std::vector<scheduler::ProgressWrite> mProgress;
};

using HandOverCallback = std::function<void(HandOver)>;
// Requests the former leader's hand-over; calls back with an empty one if there is none or the
// former leader doesn't reply in time.
using HandOverSource = std::function<void(HandOverCallback)>;

// Encodes the hand-over for the peer protocol.
Json
WriteHandOver(const HandOver& aHandOver);
// Decodes it; returns an empty hand-over if any part is malformed.
HandOver
ReadHandOver(const Json& aJson);

} // namespace lovagerock::control
