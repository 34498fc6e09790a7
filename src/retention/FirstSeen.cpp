#include "retention/FirstSeen.h"

#include <utility>

namespace lovagerock::retention {

std::int64_t
FirstSeen::Since(const std::string& aKey, kv::ModifyIndex aIndex, std::int64_t aNow)
{
  const auto it = mLast.find(aKey);
  const bool known = it != mLast.end() && it->second.mIndex == aIndex;
  const auto since = known ? it->second.mSince : aNow;
  mNext[aKey] = { aIndex, since };
  return since;
}

void
FirstSeen::EndPass()
{
  mLast = std::exchange(mNext, {});
}

} // namespace lovagerock::retention
