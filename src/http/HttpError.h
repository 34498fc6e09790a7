#pragma once

#include <string>
#include <system_error>

namespace lovagerock::http {

// Why an HTTP call gave no complete answer, or why a server could not start.
enum class HttpError
{
  // No byte of the request was written to the connection.
  NotSent = 1,
  // Some or all of the request was written, and no complete answer came.
  NoAnswer,
  // The deadline passed after the request was written.
  DeadlineExceeded,
  // The answer was larger than the limit of the call.
  AnswerTooLarge,
  // The listening socket could not be opened.
  ListenFailed,
};

const std::error_category&
HttpCategory();

std::error_code
make_error_code(HttpError aError);

} // namespace lovagerock::http

template<>
struct std::is_error_code_enum<lovagerock::http::HttpError> : std::true_type
{
};
