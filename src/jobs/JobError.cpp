#include "jobs/JobError.h"

#include "kv/KvError.h"

#include <string>

namespace lovagerock::jobs {

namespace detail {
namespace {

class JobCategoryType : public std::error_category
{
public:
  const char* name() const noexcept override { return "jobs"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<JobError>(aValue)) {
      case JobError::StoreUnavailable:
        return "job store unavailable";
      case JobError::OutcomeUnknown:
        return "outcome of the change is unknown";
      case JobError::Conflict:
        return "job was changed by another node";
      case JobError::NotFound:
        return "no such job";
      case JobError::KeyReused:
        return "idempotency key was used for another job";
      case JobError::NoAnswer:
        return "job has no complete answer";
      case JobError::BadRecord:
        return "job record is damaged";
    }
    return "unknown job error";
  }
};

} // namespace
} // namespace detail

const std::error_category&
JobCategory()
{
  static const detail::JobCategoryType kCategory;
  return kCategory;
}

std::error_code
make_error_code(JobError aError)
{
  return { static_cast<int>(aError), JobCategory() };
}

std::error_code
FromKvError(std::error_code aError)
{
  if (!aError) {
    return {};
  }
  if (aError == make_error_code(kv::KvError::OutcomeUnknown) ||
      aError == make_error_code(kv::KvError::BadAnswer)) {
    return JobError::OutcomeUnknown;
  }
  return JobError::StoreUnavailable;
}

} // namespace lovagerock::jobs
