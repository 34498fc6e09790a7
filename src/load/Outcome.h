#pragma once

#include <string_view>

namespace lovagerock::load {

// What became of a request or a job, as its caller sees it.
enum class Outcome
{
  // The whole answer to the own request.
  Ok,
  // Refused and, by all that was said, not run.
  Refused,
  // It is not known whether it ran, or it ran in part, and the system said so.
  Unknown,
  // No answer and no refusal until the caller gave up.
  Lost,
  // An answer that does not belong to the request.
  Wrong,
  // A well-formed answer that lacks its end.
  Truncated,
  // An answer that holds the expected one more than once.
  Doubled,
};

// The lower-case name used in reports and traces.
std::string_view
OutcomeName(Outcome aOutcome);

// Whether the outcome breaks a guarantee of the system.
bool
IsFault(Outcome aOutcome);

} // namespace lovagerock::load
