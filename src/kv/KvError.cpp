#include "kv/KvError.h"

#include <string>

namespace lovagerock::kv {

namespace detail {
namespace {

class KvCategoryType : public std::error_category
{
public:
  const char* name() const noexcept override { return "kv"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<KvError>(aValue)) {
      case KvError::Unavailable:
        return "key-value service unavailable";
      case KvError::OutcomeUnknown:
        return "outcome of the write is unknown";
      case KvError::RateLimited:
        return "key-value service rate limit reached";
      case KvError::BadAnswer:
        return "malformed answer of the key-value service";
      case KvError::TooLarge:
        return "answer of the key-value service is too large";
      case KvError::HistoryGone:
        return "the key-value service no longer knows the changes";
      case KvError::LeaseEnded:
        return "lease of the key-value service has ended";
      case KvError::NoAnswer:
        return "no answer of the key-value service within the time limit";
      case KvError::ConnectionLost:
        return "connection to the key-value service lost before its answer";
    }
    return "unknown key-value error";
  }
};

} // namespace
} // namespace detail

const std::error_category&
KvCategory()
{
  static const detail::KvCategoryType kCategory;
  return kCategory;
}

std::error_code
make_error_code(KvError aError)
{
  return { static_cast<int>(aError), KvCategory() };
}

} // namespace lovagerock::kv
