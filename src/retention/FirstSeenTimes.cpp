#include "retention/FirstSeenTimes.h"

namespace lovagerock::retention {

std::int64_t
FirstSeenTimes::Since(const std::string& aKey, kv::ModifyIndex aIndex, std::int64_t aNow)
{
  const auto* known = mObservations.Find(aKey);
  const auto since = known && known->mIndex == aIndex ? known->mSince : aNow;
  mObservations.Set(aKey, { aIndex, since });
  return since;
}

} // namespace lovagerock::retention
