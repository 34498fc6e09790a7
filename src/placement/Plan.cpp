#include "placement/Plan.h"

namespace lovagerock::placement {

std::string_view
WaitReasonName(WaitReason aReason)
{
  switch (aReason) {
    case WaitReason::OverQuota:
      return "over_quota";
    case WaitReason::NoCapacityNow:
      return "no_capacity_now";
    case WaitReason::ReservedForLargerJob:
      return "reserved_for_larger_job";
    case WaitReason::WaitingForReclaim:
      return "waiting_for_reclaim";
    case WaitReason::PreviousAttemptEnding:
      return "previous_attempt_ending";
    case WaitReason::UnknownAccount:
      return "unknown_account";
  }
  return "unknown";
}

std::string_view
RefusalReasonName(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::CanNeverRun:
      return "can_never_run";
    case RefusalReason::LargerThanQuota:
      return "larger_than_quota";
    case RefusalReason::FailedRepeatedly:
      return "failed_repeatedly";
  }
  return "unknown";
}

std::string_view
ReclaimReasonName(ReclaimReason aReason)
{
  switch (aReason) {
    case ReclaimReason::Guarantee:
      return "guarantee";
    case ReclaimReason::Urgent:
      return "urgent";
    case ReclaimReason::Reservation:
      return "reservation";
    case ReclaimReason::WorkerLeaving:
      return "worker_leaving";
  }
  return "unknown";
}

} // namespace lovagerock::placement
