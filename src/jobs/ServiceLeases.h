#pragma once

#include "base/LogEvent.h"
#include "base/Random.h"
#include "jobs/GangStatus.h"
#include "placement/Plan.h"
#include "workers/WorkerApi.h"

#include <set>
#include <string>

namespace lovagerock::jobs {

// Grants and releases the leases of service replicas as the plan says. The workers' states are
// the only record of them.
template<workers::WorkerApi Api>
class ServiceLeases
{
public:
  ServiceLeases(Api& aApi, Random& aRandom)
    : mApi(aApi)
    , mRandom(aRandom)
  {
  }

  // Reserves and starts one replica. A lost answer leaves a lease that lapses or shows up in the
  // worker's state, where the next plan sees it.
  void Grant(const placement::ServiceGrant& aGrant, bool aIdempotent,
             const workers::WorkerView& aWorker, const workers::Fence& aFence, Duration aTtl)
  {
    workers::LeaseRequest request;
    request.mLease = LeaseId("s-" + aGrant.mService.Value() + "-" + mRandom.Token().substr(0, 12));
    request.mFence = aFence;
    request.mTtl = aTtl;
    request.mKind = workers::LeaseKind::Service;
    request.mResources = aGrant.mResources;
    request.mReclaimable = aGrant.mReclaimable;
    request.mIdempotent = aIdempotent;
    request.mAccount = aGrant.mAccount;
    request.mService = aGrant.mService;
    LogEvent("service_grant")
      .With("service", aGrant.mService)
      .With("account", aGrant.mAccount)
      .With("worker", aGrant.mWorker)
      .With("lease", request.mLease)
      .With("slots", aGrant.mResources.mSlots)
      .With("class",
            aGrant.mClass == placement::CapacityClass::Guaranteed ? "guaranteed" : "borrowed");
    const auto address = aWorker.mAddress;
    mApi.Reserve(address, request,
                 [this, address, aFence, aTtl, lease = request.mLease](std::error_code aError,
                                                                       const workers::LeaseState&) {
                   if (!aError) {
                     mApi.Start(address, lease, aFence, aTtl, [](std::error_code) {});
                   }
                 });
  }

  // Stops a replica: it takes no new requests, and those in progress may go on until the deadline.
  void Release(const LeaseId& aLease, const SocketAddress& aWorker, const workers::Fence& aFence,
               Duration aDeadline)
  {
    if (!mReleasing.insert(aLease).second) {
      return;
    }
    LogEvent("service_release").With("lease", aLease).With("deadline_ms", aDeadline);
    mApi.Stop(aWorker, aLease, aFence, aDeadline, false, [this, aLease](std::error_code aError) {
      if (aError) {
        mReleasing.erase(aLease);
      }
    });
  }

  // Frees replicas that have ended, and forgets releases of leases that are gone.
  void Clean(const workers::WorkerView& aView, const workers::Fence& aFence)
  {
    for (const auto& it : aView.mState->mLeases) {
      const bool ended = it.mPhase == workers::LeasePhase::Stopped ||
                         it.mPhase == workers::LeasePhase::Finished ||
                         it.mPhase == workers::LeasePhase::Failed;
      if (it.mKind == workers::LeaseKind::Service && ended) {
        mReleasing.erase(it.mLease);
        mApi.Release(aView.mAddress, it.mLease, aFence, [](std::error_code) {});
      }
    }
  }

private:
  Api& mApi;
  Random& mRandom;
  std::set<LeaseId> mReleasing;
};

} // namespace lovagerock::jobs
