#include "retention/FirstSeen.h"

namespace lovagerock::retention {

std::int64_t
FirstSeen::Since(const std::string& aKey, kv::ModifyIndex aIndex, std::int64_t aNow)
{
  const auto* known = mSightings.Find(aKey);
  const auto since = known && known->mIndex == aIndex ? known->mSince : aNow;
  mSightings.Keep(aKey, { aIndex, since });
  return since;
}

} // namespace lovagerock::retention
