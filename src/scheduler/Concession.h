#pragma once

#include "scheduler/Placer.h"
#include "scheduler/WaitReason.h"

#include <array>

namespace lovagerock::scheduler {

// What is set aside so that a waiting step starts: a preference of its own, what is kept for gangs,
// or doubts about workers.
struct Concession
{
  // Runs in several racks although the step asks for one.
  bool mSpreads = false;
  // Takes what Placer::Gather() keeps for gangs that may be passed.
  bool mPassesGangs = false;
  // Uses workers that are avoided because runs have failed there: failing ones, those on trial for
  // several tasks, and those on which runs of the step have failed.
  bool mUsesFailedWorkers = false;
  // Why a step waits that would start with this concession.
  WaitReason mWaitReason = WaitReason::NoRoom;
};

// In the order in which they are made. A gang that is passed waits a little longer, while a gang in
// several racks runs several times as long and occupies its workers all the while. Runs on workers
// where others have failed may fail too.
inline constexpr std::array<Concession, 4> kConcessions{ {
  { .mPassesGangs = true, .mWaitReason = WaitReason::RoomReserved },
  { .mSpreads = true, .mWaitReason = WaitReason::RacksOccupied },
  { .mSpreads = true, .mPassesGangs = true, .mWaitReason = WaitReason::RoomReserved },
  { .mSpreads = true,
    .mPassesGangs = true,
    .mUsesFailedWorkers = true,
    .mWaitReason = WaitReason::WorkersAvoided },
} };

// The last one: everything that can be set aside is.
inline constexpr const Concession& kAllConcessions = kConcessions.back();

// Returns the request as it is with the concession.
PlacementRequest
Concede(PlacementRequest aRequest, const Concession& aConcession);

// Returns why the step doesn't start: the least that would have to be set aside for aNeeded of its
// tasks to fit now. nullopt if that many wouldn't fit in any case. Regards all that is reserved,
// also what no concession takes.
std::optional<WaitReason>
WhatKeepsFromRoom(const PlacementRequest& aRequest, int aNeeded, const Placer& aPlacer);

// Returns how many tasks of the request fit under which conditions.
RoomReport
ReportRoom(const PlacementRequest& aRequest, const Placer& aPlacer);

} // namespace lovagerock::scheduler
