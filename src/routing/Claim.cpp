#include "routing/Claim.h"

#include <array>
#include <vector>

namespace lovagerock::routing {

namespace detail {
namespace {

constexpr std::array<std::string_view, 3> kStateNames{ "claimed", "released", "done" };

std::optional<ClaimState>
ReadState(const std::string& aName)
{
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == aName) {
      return static_cast<ClaimState>(i);
    }
  }
  return std::nullopt;
}

} // namespace
} // namespace detail

std::string
WriteClaim(const Claim& aClaim)
{
  Json json = { { "state", detail::kStateNames[static_cast<std::size_t>(aClaim.mState)] },
                { "token", aClaim.mToken },
                { "node", aClaim.mNode.Value() },
                { "incarnation", aClaim.mIncarnation },
                { "peer", aClaim.mPeer.ToString() },
                { "request", aClaim.mRequest.Value() },
                { "fingerprint", aClaim.mFingerprint },
                { "created_ms", aClaim.mCreatedMs } };
  if (aClaim.mState == ClaimState::Done) {
    json["status"] = aClaim.mStatus;
    json["digest"] = aClaim.mDigest;
    if (aClaim.mFinalResponse) {
      json["answer"] = *aClaim.mFinalResponse;
    }
  }
  std::string value;
  Json::to_cbor(json, value);
  return value;
}

std::optional<Claim>
ReadClaim(std::string_view aValue)
{
  const auto json = Json::from_cbor(aValue.begin(), aValue.end(), true, false);
  const auto state = detail::ReadState(JsonValue<std::string>(json, "state", ""));
  const auto peer = SocketAddress::Parse(JsonValue<std::string>(json, "peer", ""));
  if (!state || !peer) {
    return std::nullopt;
  }
  Claim claim;
  claim.mState = *state;
  claim.mToken = JsonValue<std::string>(json, "token", "");
  claim.mNode = NodeId(JsonValue<std::string>(json, "node", ""));
  claim.mIncarnation = JsonValue<std::string>(json, "incarnation", "");
  claim.mPeer = *peer;
  claim.mRequest = RequestId(JsonValue<std::string>(json, "request", ""));
  claim.mFingerprint = JsonValue<std::string>(json, "fingerprint", "");
  claim.mCreatedMs = JsonValue<std::int64_t>(json, "created_ms", 0);
  claim.mStatus = JsonValue(json, "status", 0);
  claim.mDigest = JsonValue<std::string>(json, "digest", "");
  const auto answer = json.find("answer");
  if (answer != json.end()) {
    claim.mFinalResponse = answer->get<FinalResponse>();
  }
  return claim;
}

} // namespace lovagerock::routing
