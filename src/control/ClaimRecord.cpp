#include "control/ClaimRecord.h"

#include "base/Json.h"
#include "scheduler/Limits.h"

#include <cstdint>

namespace lovagerock::control {

namespace {

// Values are 0 if the row begins with the claim itself, whose token isn't known when it is written.
constexpr const char* kNamesRunsSince = "namesRunsSince";
constexpr const char* kBoundsLeasesSince = "boundsLeasesSince";
constexpr const char* kLeaseMs = "leaseMs";

// Returns the beginning of a row; 0 if the claim doesn't name it.
FencingToken
ReadSince(const Json& aClaim, const char* aName, FencingToken aOwn)
{
  const auto since = JsonValue(aClaim, aName, std::int64_t{ -1 });
  return since < 0 ? FencingToken() : since > 0 ? FencingToken(since) : aOwn;
}

// Returns 0, which says nothing of the lease, for a time that no store grants.
Duration
ReadLeaseTime(const Json& aClaim)
{
  const Duration time(JsonValue(aClaim, kLeaseMs, std::int64_t{ 0 }));
  return time > Duration(0) && time <= scheduler::kMaxDuration ? time : Duration(0);
}

} // namespace

std::string
WriteClaimRecord(const NodeId& aNode, const ClaimRecord& aLast, Duration aLeaseTime)
{
  return DumpJson({ { "node", aNode.Value() },
                    { kLeaseMs, aLeaseTime.count() },
                    { kNamesRunsSince, aLast.mNamesRunsSince.Value() },
                    { kBoundsLeasesSince, aLast.mBoundsLeasesSince.Value() } });
}

ClaimRecord
ReadClaimRecord(const std::string& aText, kv::Revision aRevision)
{
  const FencingToken token(aRevision.Value());
  const auto json = ParseJson(aText).value_or(Json::object());
  return { token, ReadSince(json, kNamesRunsSince, token),
           ReadSince(json, kBoundsLeasesSince, token), ReadLeaseTime(json) };
}

} // namespace lovagerock::control
