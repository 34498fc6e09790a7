#include "retention/RecordExpiry.h"

#include "configstore/ConfigRecord.h"
#include "routing/Claim.h"

namespace lovagerock::retention {

namespace detail {
namespace {

std::int64_t
ClaimTime(const kv::Entry& aEntry)
{
  const auto claim = routing::ReadClaim(aEntry.mValue);
  return claim ? claim->mCreatedMs : 0;
}

std::int64_t
ChangeTime(const kv::Entry& aEntry)
{
  const auto record = configstore::ReadChange(aEntry.mValue);
  return record ? record->mAppliedMs : 0;
}

// aTime returns an entry's stored time in milliseconds since 1970, or 0 if it has none.
std::vector<Deletion>
FindExpired(const std::vector<kv::Entry>& aEntries, DeletionKind aKind,
            std::int64_t (*aTime)(const kv::Entry&), Duration aRetention, std::int64_t aNow,
            FirstSeenTimes& aSeen)
{
  std::vector<Deletion> expired;
  for (const auto& it : aEntries) {
    auto since = aTime(it);
    if (since <= 0) {
      since = aSeen.Since(it.mKey, it.mModifyIndex, aNow);
    }
    if (aNow - since >= aRetention.count()) {
      expired.push_back({ aKind, it.mKey, it.mModifyIndex });
    }
  }
  return expired;
}

} // namespace
} // namespace detail

std::vector<Deletion>
FindExpiredClaims(const std::vector<kv::Entry>& aEntries, Duration aRetention, std::int64_t aNow,
                  FirstSeenTimes& aSeen)
{
  return detail::FindExpired(aEntries, DeletionKind::Claim, detail::ClaimTime, aRetention, aNow,
                             aSeen);
}

std::vector<Deletion>
FindExpiredChanges(const std::vector<kv::Entry>& aEntries, Duration aRetention, std::int64_t aNow,
                   FirstSeenTimes& aSeen)
{
  return detail::FindExpired(aEntries, DeletionKind::Change, detail::ChangeTime, aRetention, aNow,
                             aSeen);
}

} // namespace lovagerock::retention
