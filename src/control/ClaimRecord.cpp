#include "control/ClaimRecord.h"

#include "base/Json.h"

#include <cstdint>

namespace lovagerock::control {

namespace {

constexpr const char* kNamesRunsSince = "namesRunsSince";

} // namespace

std::string
WriteClaimRecord(const NodeId& aNode, FencingToken aNamesRunsSince)
{
  return DumpJson({ { "node", aNode.Value() }, { kNamesRunsSince, aNamesRunsSince.Value() } });
}

ClaimRecord
ReadClaimRecord(const std::string& aText, kv::Revision aRevision)
{
  ClaimRecord claim{ FencingToken(aRevision.Value()), FencingToken() };
  const auto json = ParseJson(aText);
  const auto since = json ? JsonValue(*json, kNamesRunsSince, std::int64_t{ -1 }) : -1;
  if (since >= 0) {
    claim.mNamesRunsSince = since > 0 ? FencingToken(since) : claim.mToken;
  }
  return claim;
}

} // namespace lovagerock::control
