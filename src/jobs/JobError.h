#pragma once

#include <system_error>

namespace lovagerock::jobs {

// Why an operation on a job failed.
enum class JobError
{
  // The key-value service is unavailable; nothing was changed.
  StoreUnavailable = 1,
  // The key-value service took the write or not; it can't be told now.
  OutcomeUnknown,
  // Another node changed the record first.
  Conflict,
  // No such job.
  NotFound,
  // The idempotency key was used before with another job.
  KeyReused,
  // The job has no complete answer (yet).
  NoAnswer,
  // The record or an answer in the store is damaged.
  BadRecord,
};

const std::error_category&
JobCategory();

std::error_code
make_error_code(JobError aError);

// Translates an error of the key-value service.
std::error_code
FromKvError(std::error_code aError);

} // namespace lovagerock::jobs

template<>
struct std::is_error_code_enum<lovagerock::jobs::JobError> : std::true_type
{
};
