#include "workers/WorkerError.h"

#include <string>

namespace lovagerock::workers {

namespace detail {
namespace {

class WorkerCategoryType : public std::error_category
{
public:
  const char* name() const noexcept override { return "worker"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<WorkerError>(aValue)) {
      case WorkerError::NotSent:
        return "call to the worker was not sent";
      case WorkerError::OutcomeUnknown:
        return "outcome of the call to the worker is unknown";
      case WorkerError::Fenced:
        return "worker has seen a higher fencing token";
      case WorkerError::NoCapacity:
        return "worker has not enough free capacity";
      case WorkerError::Tombstone:
        return "id was released or cancelled before";
      case WorkerError::Leaving:
        return "worker is leaving";
      case WorkerError::NotFound:
        return "worker does not know the lease or request";
      case WorkerError::BadAnswer:
        return "malformed, oversized or unexpected response from the worker";
    }
    return "unknown worker error";
  }
};

} // namespace
} // namespace detail

const std::error_category&
WorkerCategory()
{
  static const detail::WorkerCategoryType kCategory;
  return kCategory;
}

std::error_code
make_error_code(WorkerError aError)
{
  return { static_cast<int>(aError), WorkerCategory() };
}

} // namespace lovagerock::workers
