#pragma once

#include <system_error>

namespace lovagerock::workers {

// Why a call to a worker failed.
enum class WorkerError
{
  // The call had no effect: it was not sent.
  NotSent = 1,
  // The call may or may not have taken effect.
  OutcomeUnknown,
  // Refused: the worker has seen the higher fencing token of a newer planner.
  Fenced,
  // Refused: not enough free capacity.
  NoCapacity,
  // Refused: the id was released or cancelled before.
  Tombstone,
  // Refused: the worker is leaving.
  Leaving,
  // Refused: the worker doesn't know the lease or request.
  NotFound,
  // The worker's response was malformed, too large or had an unexpected status.
  BadAnswer,
};

const std::error_category&
WorkerCategory();

std::error_code
make_error_code(WorkerError aError);

} // namespace lovagerock::workers

template<>
struct std::is_error_code_enum<lovagerock::workers::WorkerError> : std::true_type
{
};
