#pragma once

#include <system_error>

namespace lovagerock::kv {

// Why a call to the key-value service failed.
enum class KvError
{
  // The call had no effect: it was not sent, or the service refused it.
  Unavailable = 1,
  // A write may or may not have taken effect; the caller must read to find out.
  OutcomeUnknown,
  // The service refused the call because of its rate limit; it had no effect.
  RateLimited,
  // The service's answer was not understood. A write may have taken effect.
  BadAnswer,
  // The answer of a listing exceeds the limit of its caller.
  TooLarge,
  // The changes after the given version are no longer known; the caller must list again.
  HistoryGone,
  // The lease has ended, or never was.
  LeaseEnded,
  // The service didn't answer a read in time.
  NoAnswer,
  // The connection ended before the answer of a read was complete.
  ConnectionLost,
};

const std::error_category&
KvCategory();

std::error_code
make_error_code(KvError aError);

} // namespace lovagerock::kv

template<>
struct std::is_error_code_enum<lovagerock::kv::KvError> : std::true_type
{
};
