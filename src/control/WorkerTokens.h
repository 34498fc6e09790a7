#pragma once

#include "control/LeaderHistory.h"
#include "scheduler/Fleet.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

namespace lovagerock::control {

// The fencing tokens of a leader's calls to workers. A worker that has restarted knows no token,
// and carries out orders that were sent to its earlier incarnations. It refuses them once it has
// seen a token that is higher than those of all earlier calls to its id, so these are kept also
// while the worker is gone.
class WorkerTokens
{
public:
  // The token of the leadership. All others were obtained while it held, so they are higher, and
  // lower than those of later leaders.
  explicit WorkerTokens(FencingToken aLeadership)
    : mLeadership(aLeadership)
  {
  }

  // The token of orders to the worker: that of the leadership, or a higher one.
  FencingToken OrderToken(const WorkerId& aWorker) const
  {
    const auto it = mWorkers.find(aWorker);
    return it == mWorkers.end() ? mLeadership : std::max(mLeadership, it->second.mOrderToken);
  }

  // The highest token that a call to the worker may have carried. The worker may refuse orders with
  // a lower one, that of OrderToken() too.
  FencingToken Highest(const WorkerId& aWorker) const
  {
    const auto it = mWorkers.find(aWorker);
    return it == mWorkers.end() ? std::max(mLeadership, mHighestForgotten)
                                : std::max(mLeadership, HighestOf(it->second));
  }

  // Orders to the worker carry the token from now on.
  void Raise(const WorkerId& aWorker, FencingToken aToken)
  {
    mWorkers[aWorker].mOrderToken = aToken;
  }
  // The same with a token that was obtained by storing a record of this incarnation.
  void
  RaiseFor(const WorkerId& aWorker, scheduler::WorkerIncarnation aIncarnation, FencingToken aToken)
  {
    auto& tokens = mWorkers[aWorker];
    tokens.mOrderToken = aToken;
    tokens.mRaisedFor = aIncarnation;
  }
  // Whether RaiseFor() was called last for this incarnation.
  bool IsRaisedFor(const WorkerId& aWorker, scheduler::WorkerIncarnation aIncarnation) const
  {
    const auto it = mWorkers.find(aWorker);
    return it != mWorkers.end() && it->second.mRaisedFor == aIncarnation;
  }
  // A call to the worker that is no order carries the token.
  void OnCall(const WorkerId& aWorker, FencingToken aToken)
  {
    auto& highest = mWorkers[aWorker].mHighestOfCalls;
    highest = std::max(highest, aToken);
  }

  // Forgets the workers that aren't in the fleet, if there are more than aMost. From then on, any
  // unknown worker may have seen the highest of their tokens.
  void Prune(const scheduler::Fleet& aFleet, std::size_t aMost)
  {
    if (mWorkers.size() <= aFleet.size() + aMost) {
      return;
    }
    std::erase_if(mWorkers, [this, &aFleet](const auto& aIt) {
      if (aFleet.contains(aIt.first)) {
        return false;
      }
      mHighestForgotten = std::max(mHighestForgotten, HighestOf(aIt.second));
      return true;
    });
  }

private:
  struct Tokens
  {
    FencingToken mOrderToken;
    FencingToken mHighestOfCalls;
    std::optional<scheduler::WorkerIncarnation> mRaisedFor;
  };

  static FencingToken HighestOf(const Tokens& aTokens)
  {
    return std::max(aTokens.mOrderToken, aTokens.mHighestOfCalls);
  }

  FencingToken mLeadership;
  std::map<WorkerId, Tokens> mWorkers;
  FencingToken mHighestForgotten;
};

} // namespace lovagerock::control
