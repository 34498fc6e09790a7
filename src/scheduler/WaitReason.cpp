#include "scheduler/WaitReason.h"

namespace lovagerock::scheduler {

std::array<WaitReason, kWaitReasons>
AllWaitReasons()
{
  std::array<WaitReason, kWaitReasons> reasons{};
  for (std::size_t i = 0; i < reasons.size(); ++i) {
    reasons[i] = static_cast<WaitReason>(i);
  }
  return reasons;
}

const char*
WaitReasonName(WaitReason aReason)
{
  switch (aReason) {
    case WaitReason::TakeoverUnsettled:
      return "takeover_unsettled";
    case WaitReason::RunUnreported:
      return "run_unreported";
    case WaitReason::RunBeingStopped:
      return "run_being_stopped";
    case WaitReason::GangIncomplete:
      return "gang_incomplete";
    case WaitReason::LeadershipUnconfirmed:
      return "leadership_unconfirmed";
    case WaitReason::StartHeld:
      return "start_held";
    case WaitReason::StartUnanswered:
      return "start_unanswered";
    case WaitReason::RunsBeingEvicted:
      return "runs_being_evicted";
    case WaitReason::RoomReserved:
      return "room_reserved";
    case WaitReason::RacksOccupied:
      return "racks_occupied";
    case WaitReason::WorkersAvoided:
      return "workers_avoided";
    case WaitReason::ZonesEvacuated:
      return "zones_evacuated";
    case WaitReason::WorkersUnanswered:
      return "workers_unanswered";
    case WaitReason::NoWorkers:
      return "no_workers";
    case WaitReason::NeverFits:
      return "never_fits";
    case WaitReason::NoRoom:
      return "no_room";
    case WaitReason::NotExamined:
      return "not_examined";
  }
  return "unknown";
}

} // namespace lovagerock::scheduler
