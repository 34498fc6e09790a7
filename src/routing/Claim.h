#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "routing/FinalAnswer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::routing {

// Where a claim stands.
enum class ClaimState
{
  // The holder may send the request or has sent it.
  Claimed,
  // The request was not run; the key may be claimed again.
  Released,
  // The request has its final outcome and is never run again.
  Done,
};

// The record in the key-value service that lets one node send a keyed non-idempotent request.
struct Claim
{
  ClaimState mState = ClaimState::Claimed;
  // Unique for each attempt to claim a key.
  std::string mToken;
  NodeId mNode;
  // Differs after each restart of the holder.
  std::string mIncarnation;
  // Where the holder answers peer calls.
  SocketAddress mPeer;
  RequestId mRequest;
  // Digest of service and body; tells a retry from another request with the same key.
  std::string mFingerprint;
  // Milliseconds since 1970; claims are deleted 24 h after it.
  std::int64_t mCreatedMs = 0;
  // Once done: the answer's status and the SHA-256 of its body.
  int mStatus = 0;
  std::string mDigest;
  // Once done: the whole answer, if its body has at most kMaxRecordedAnswer bytes.
  std::optional<FinalAnswer> mAnswer;
};

// Larger answers would make the claims too large for the key-value service.
inline constexpr std::size_t kMaxRecordedAnswer = 16 * 1024;

// The value of a claim's key, in CBOR.
std::string
WriteClaim(const Claim& aClaim);
// Nothing if the value isn't a claim.
std::optional<Claim>
ReadClaim(std::string_view aValue);

} // namespace lovagerock::routing
