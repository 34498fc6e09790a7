#pragma once

#include <system_error>

namespace lovagerock::jobs {

// Why an operation on a job failed.
enum class JobError
{
  // The key-value service is unavailable; nothing was changed.
  StoreUnavailable = 1,
  // A write to the key-value service may or may not have taken effect.
  OutcomeUnknown,
  // Another node changed the record first.
  Conflict,
  // There is no such job.
  NotFound,
  // The idempotency key was used before for a different job.
  KeyReused,
  // A piece of the answer is missing in the store.
  NoAnswer,
  // The stored record can't be parsed.
  BadRecord,
};

const std::error_category&
JobCategory();

std::error_code
make_error_code(JobError aError);

// Converts an error of the key-value service to a JobError.
std::error_code
FromKvError(std::error_code aError);

} // namespace lovagerock::jobs

template<>
struct std::is_error_code_enum<lovagerock::jobs::JobError> : std::true_type
{
};
