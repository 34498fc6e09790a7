#include "http/HttpError.h"

namespace lovagerock::http {

namespace detail {
namespace {

class HttpCategoryType : public std::error_category
{
public:
  const char* name() const noexcept override { return "http"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<HttpError>(aValue)) {
      case HttpError::NotSent:
        return "request was not sent";
      case HttpError::NoAnswer:
        return "no complete answer";
      case HttpError::DeadlineExceeded:
        return "deadline exceeded";
      case HttpError::AnswerTooLarge:
        return "answer too large";
      case HttpError::ListenFailed:
        return "cannot listen";
    }
    return "unknown HTTP error";
  }
};

} // namespace
} // namespace detail

const std::error_category&
HttpCategory()
{
  static const detail::HttpCategoryType kCategory;
  return kCategory;
}

std::error_code
make_error_code(HttpError aError)
{
  return { static_cast<int>(aError), HttpCategory() };
}

} // namespace lovagerock::http
