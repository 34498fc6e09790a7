#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "routing/FinalResponse.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::routing {

// The state of a claim.
enum class ClaimState
{
  // The holder may send the request to a worker, or has sent it.
  Claimed,
  // The request was not run; the key may be claimed again.
  Released,
  // The request has its final outcome and must not be run again.
  Done,
};

// The record in the key-value service that gives one node the right to send a non-idempotent
// request with an idempotency key to a worker.
struct Claim
{
  ClaimState mState = ClaimState::Claimed;
  // Unique for each attempt to acquire a claim.
  std::string mToken;
  NodeId mNode;
  // Identifies the process of the holder; changes with each restart.
  std::string mIncarnation;
  // Address at which the holder accepts calls from other nodes.
  SocketAddress mPeer;
  RequestId mRequest;
  // SHA-256 of service and body. Distinguishes a retry from a different request with the same key.
  std::string mFingerprint;
  // Milliseconds since the Unix epoch. Claims are deleted 24 h after this time.
  std::int64_t mCreatedMs = 0;
  // In state Done: the HTTP status of the response, and the SHA-256 of its body, empty if the
  // holder didn't retain the whole body.
  int mStatus = 0;
  std::string mDigest;
  // In state Done: the whole response, if its body has at most kMaxRecordedBodyBytes bytes.
  std::optional<FinalResponse> mFinalResponse;
};

// Larger response bodies would make the claims too large for the key-value service.
inline constexpr std::size_t kMaxRecordedBodyBytes = 16 * 1024;

// Encodes a claim in CBOR, as the value of its key.
std::string
WriteClaim(const Claim& aClaim);
// Decodes a claim. Returns nothing if the value isn't a claim.
std::optional<Claim>
ReadClaim(std::string_view aValue);

} // namespace lovagerock::routing
