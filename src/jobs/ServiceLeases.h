#pragma once

#include "base/LogEvent.h"
#include "base/Random.h"
#include "jobs/GangStatus.h"
#include "placement/Plan.h"
#include "workers/WorkerApi.h"

#include <set>
#include <string>

namespace lovagerock::jobs {

// Grants and releases the leases of service replicas according to the plan. They are recorded in
// the workers' states only.
template<workers::WorkerApi Api>
class ServiceLeases
{
public:
  ServiceLeases(Api& aApi, Random& aRandom)
    : mApi(aApi)
    , mRandom(aRandom)
  {
  }

  // Reserves and starts one replica. If a response is lost, the lease expires or appears in the
  // worker's state, which the next plan takes into account.
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

  // Stops a replica: it accepts no new requests, and requests in progress may continue until the
  // deadline.
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

  // Releases the leases of replicas that have ended on the worker.
  void ReleaseEnded(const workers::WorkerView& aView, const workers::Fence& aFence)
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
  // Leases of replicas that were told to stop.
  std::set<LeaseId> mReleasing;
};

} // namespace lovagerock::jobs
