#include "scheduler/WorkerReport.h"

namespace lovagerock::scheduler {

const char*
OrderOutcomeName(OrderOutcome aOutcome)
{
  switch (aOutcome) {
    case OrderOutcome::Done:
      return "done";
    case OrderOutcome::Fenced:
      return "fenced";
    case OrderOutcome::Superseded:
      return "superseded";
    case OrderOutcome::TooLate:
      return "too_late";
    case OrderOutcome::InsufficientResources:
      return "no_room";
    case OrderOutcome::Unhealthy:
      return "unhealthy";
    case OrderOutcome::Invalid:
      return "invalid";
    case OrderOutcome::WrongWorker:
      return "wrong_worker";
    case OrderOutcome::NotSent:
      return "not_sent";
    case OrderOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

const char*
RunEndName(RunEnd aEnd)
{
  switch (aEnd) {
    case RunEnd::Done:
      return "done";
    case RunEnd::Failed:
      return "failed";
    case RunEnd::Stopped:
      return "stopped";
    case RunEnd::LeaseExpired:
      return "lapsed";
    case RunEnd::GangMemberEnded:
      return "broken";
    case RunEnd::GangIncomplete:
      return "alone";
  }
  return "unknown";
}

} // namespace lovagerock::scheduler
