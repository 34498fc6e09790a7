#pragma once

#include "control/Election.h"
#include "scheduler/Orders.h"

#include <functional>
#include <vector>

namespace lovagerock::control {

// What a leader knew and may not have stored when its leadership ended.
struct HandOver
{
  // The leader's; 0 if there is nothing to tell.
  FencingToken mToken;
  // Whether the stored progress and this one together name all runs that may be at work.
  bool mIsComplete = false;
  std::vector<scheduler::ProgressWrite> mProgress;
};

using HandOverCallback = std::function<void(HandOver)>;
// Asks the former leader for its hand-over; calls back with an empty one if that has none or
// doesn't answer in time.
using HandOverSource = std::function<void(HandOverCallback)>;

// The form on the peer protocol.
Json
WriteHandOver(const HandOver& aHandOver);
// Reads it; what is malformed is left out.
HandOver
ReadHandOver(const Json& aJson);

} // namespace lovagerock::control
