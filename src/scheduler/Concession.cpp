#include "scheduler/Concession.h"

#include <utility>

namespace lovagerock::scheduler {

PlacementRequest
Concede(PlacementRequest aRequest, const Concession& aConcession)
{
  aRequest.mMaySpread = aRequest.mMaySpread || aConcession.mSpreads;
  aRequest.mMayPassGangs = aConcession.mPassesGangs;
  if (aConcession.mUsesFailedWorkers) {
    aRequest.mExcludedWorkers.clear();
    aRequest.mAvoidsSuspects = false;
    aRequest.mIgnoresTrials = true;
    aRequest.mIgnoresFailures = true;
  }
  return aRequest;
}

std::optional<WaitReason>
WhatKeepsFromRoom(const PlacementRequest& aRequest, int aNeeded, const Placer& aPlacer)
{
  for (const auto& it : kConcessions) {
    auto request = Concede(aRequest, it);
    request.mIgnoresReservations = it.mPassesGangs;
    if (aPlacer.Fitting(request) >= aNeeded) {
      return it.mWaitReason;
    }
  }
  auto request = Concede(aRequest, kAllConcessions);
  request.mIgnoresReservations = true;
  request.mIgnoresPauses = true;
  if (aPlacer.Fitting(request) >= aNeeded) {
    return WaitReason::WorkersAvoided;
  }
  request.mIgnoresEvacuations = true;
  return aPlacer.Fitting(request) >= aNeeded ? std::optional(WaitReason::ZonesEvacuated)
                                             : std::nullopt;
}

RoomReport
ReportRoom(const PlacementRequest& aRequest, const Placer& aPlacer)
{
  auto report = aPlacer.Room(aRequest);
  auto request = aRequest;
  request.mMaySpread = true;
  report.mFittingSpread = aPlacer.Fitting(request);
  request.mIgnoresReservations = true;
  report.mFittingUnreserved = aPlacer.Fitting(request);
  request = Concede(std::move(request), kAllConcessions);
  request.mIgnoresPauses = true;
  report.mFittingUnavoided = aPlacer.Fitting(request);
  return report;
}

} // namespace lovagerock::scheduler
