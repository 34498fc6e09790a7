#include "control/ClaimRecord.h"

#include "base/Json.h"

#include <cstdint>

namespace lovagerock::control {

namespace {

// Values are 0 if the row begins with the claim itself, whose token isn't known when it is written.
constexpr const char* kNamesRunsSince = "namesRunsSince";
constexpr const char* kBoundsLeasesSince = "boundsLeasesSince";

// Returns the beginning of a row; 0 if the claim doesn't name it.
FencingToken
ReadSince(const Json& aClaim, const char* aName, FencingToken aOwn)
{
  const auto since = JsonValue(aClaim, aName, std::int64_t{ -1 });
  return since < 0 ? FencingToken() : since > 0 ? FencingToken(since) : aOwn;
}

} // namespace

std::string
WriteClaimRecord(const NodeId& aNode, const ClaimRecord& aLast)
{
  return DumpJson({ { "node", aNode.Value() },
                    { kNamesRunsSince, aLast.mNamesRunsSince.Value() },
                    { kBoundsLeasesSince, aLast.mBoundsLeasesSince.Value() } });
}

ClaimRecord
ReadClaimRecord(const std::string& aText, kv::Revision aRevision)
{
  const FencingToken token(aRevision.Value());
  const auto json = ParseJson(aText).value_or(Json::object());
  return { token, ReadSince(json, kNamesRunsSince, token),
           ReadSince(json, kBoundsLeasesSince, token) };
}

} // namespace lovagerock::control
