#pragma once

#include <system_error>

namespace lovagerock::peer {

// Why a call to a peer gave no answer.
enum class PeerError
{
  // The peer did not run the call: it was not sent, or the peer refused its stream.
  NotSent = 1,
  // The call was sent and no answer came; the peer may have run it.
  OutcomeUnknown,
  // Too many calls to the peer are open; this one was not sent.
  Overloaded,
  // The body is over the size limit; the call was not sent.
  TooLarge,
  // The peer has no handler of that method; it did not run the call.
  UnknownMethod,
  // The peer ran the call and could not answer it.
  Failed,
  // The listening socket could not be opened.
  ListenFailed,
};

const std::error_category&
PeerCategory();

std::error_code
make_error_code(PeerError aError);

} // namespace lovagerock::peer

template<>
struct std::is_error_code_enum<lovagerock::peer::PeerError> : std::true_type
{
};
